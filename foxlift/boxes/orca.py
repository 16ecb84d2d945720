"""Load reports in a response header: Open Request Cost Aggregation (ORCA, xds.data.orca.v3.OrcaLoadReport).

The header is `endpoint-load-metrics`, in its JSON or its TEXT form. Only these `named_metrics` of the report
are read: `link` (demand over capacity of the link), `link_up_to_one`, `uplink` and `streams`. An unreadable
report is ignored: the response that carries it stays valid.
"""

from __future__ import annotations

import math

import msgspec

from foxlift import interface as fl

LOAD_HEADER = "endpoint-load-metrics"
MAX_LOAD_HEADER_CHARS = 4096
_METRICS = ("link", "link_up_to_one", "uplink", "streams")


class _Report(msgspec.Struct):
    named_metrics: dict[str, float] = {}


def read_load(value: str | None) -> fl.Load | None:
    """The module's Load, or None if the header has no usable report."""
    if not value or len(value) > MAX_LOAD_HEADER_CHARS:
        return None
    form, _, text = value.strip().partition(" ")
    if form == "JSON":
        try:
            metrics = msgspec.json.decode(text, type=_Report).named_metrics
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return None
    elif form == "TEXT":
        metrics = _read_text(text)
    else:
        return None
    valid = {name: metrics[name] for name in _METRICS if name in metrics}
    valid = {name: number for name, number in valid.items() if math.isfinite(number) and 0 <= number < 1e6}
    return fl.Load(**valid) if valid else None


def _read_text(text: str) -> dict[str, float]:
    metrics: dict[str, float] = {}
    for pair in text.split(","):
        name, _, number = pair.strip().partition("=")
        if name.startswith("named_metrics."):
            try:
                metrics[name.removeprefix("named_metrics.")] = float(number)
            except ValueError:
                continue
    return metrics
