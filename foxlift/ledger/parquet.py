"""The ledger as a Parquet file, a copy for those who read it with other tools. Needs pyarrow.

One row a record; columns that a kind of record does not have are null. Times are Unix milliseconds, money
millionths of the currency unit, both as 64-bit whole numbers.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from foxlift.ledger.records import Linked

GROUP = 50_000  # records held at a time, and rows of a row group

_WHOLE, _TEXT, _YES_NO = pa.int64(), pa.string(), pa.bool_()
SCHEMA = pa.schema(
    [
        pa.field("number", _WHOLE, nullable=False),
        pa.field("kind", _TEXT, nullable=False),
        pa.field("chain", _TEXT, nullable=False),
        *((name, _WHOLE) for name in ("at", "when", "until", "upto", "rung", "attempts", "ms", "micros")),
        *((name, _TEXT) for name in ("session", "token", "tenant", "klass", "viewer", "box")),
        *((name, _TEXT) for name in ("what", "state")),
        *((name, _TEXT) for name in ("period", "entry", "corrects_period", "corrects_entry", "by", "why")),
        *((name, _YES_NO) for name in ("paid", "estimated", "void")),
        *((name, _WHOLE) for name in ("batch", "first", "last", "exporter")),
        ("content", _TEXT),
    ]
)


def write_parquet(records: Iterable[tuple[int, Linked]], path: Path) -> int:
    """Write the file; gives back how many records. It appears under its name only when it is whole.

    Raises OSError, and whatever reading the records raises.
    """
    draft = path.with_name(path.name + ".new")
    count = 0
    rows: list[dict[str, Any]] = []
    with pq.ParquetWriter(draft, SCHEMA, compression="zstd") as writer:
        for number, linked in records:
            row = msgspec.to_builtins(linked.record)
            rows.append({"number": number, "kind": row.pop("type"), "chain": linked.chain, **row})
            count += 1
            if len(rows) == GROUP:
                writer.write_table(pa.Table.from_pylist(rows, schema=SCHEMA))
                rows.clear()
        if rows:
            writer.write_table(pa.Table.from_pylist(rows, schema=SCHEMA))
    draft.replace(path)
    return count
