"""Logs and counters."""

from foxlift.telemetry.counters import Counters
from foxlift.telemetry.logs import configure_logs

__all__ = ["Counters", "configure_logs"]
