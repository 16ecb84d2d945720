"""Writes the ledger as a Parquet file for other tools. Needs pyarrow.

One row a record; columns that a kind of record does not have are null. Times are Unix milliseconds, amounts
millionths of the currency unit, both 64-bit integers.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from foxlift.ledger.records import Linked

ROW_GROUP_SIZE = 50_000  # rows of a row group, which is in memory until it is written

_INTEGER, _TEXT, _BOOLEAN = pa.int64(), pa.string(), pa.bool_()
SCHEMA = pa.schema(
    [
        pa.field("number", _INTEGER, nullable=False),
        pa.field("kind", _TEXT, nullable=False),
        pa.field("chain", _TEXT, nullable=False),
        *((name, _INTEGER) for name in ("at", "when", "until", "upto", "rung", "attempts", "ms", "micros")),
        *((name, _TEXT) for name in ("session", "token", "tenant", "klass", "viewer", "box")),
        *((name, _TEXT) for name in ("what", "state")),
        *((name, _TEXT) for name in ("period", "entry", "corrects_period", "corrects_entry", "by", "why")),
        *((name, _BOOLEAN) for name in ("paid", "estimated", "void")),
        *((name, _INTEGER) for name in ("batch", "first", "last", "exporter")),
        ("content", _TEXT),
    ]
)


def write_parquet(records: Iterable[tuple[int, Linked]], path: Path) -> int:
    """Write the file and return the number of records. It gets its name only once it is complete.

    Raises OSError, and whatever reading the records raises.
    """
    temporary_path = path.with_name(path.name + ".new")
    count = 0
    rows: list[dict[str, Any]] = []
    with pq.ParquetWriter(temporary_path, SCHEMA, compression="zstd") as writer:
        for number, linked in records:
            row = msgspec.to_builtins(linked.record)
            rows.append({"number": number, "kind": row.pop("type"), "chain": linked.chain, **row})
            count += 1
            if len(rows) == ROW_GROUP_SIZE:
                writer.write_table(pa.Table.from_pylist(rows, schema=SCHEMA))
                rows.clear()
        if rows:
            writer.write_table(pa.Table.from_pylist(rows, schema=SCHEMA))
    temporary_path.replace(path)
    return count
