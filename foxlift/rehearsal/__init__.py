"""Rehearsals: a scripted day on stand-ins, faults on command, judged from the taps."""

from foxlift.rehearsal.day import DayResult, run_day
from foxlift.rehearsal.faults import shrink, with_faults
from foxlift.rehearsal.report import print_report
from foxlift.rehearsal.scenario import Scenario, built_in, load_scenario

__all__ = [
    "DayResult",
    "Scenario",
    "built_in",
    "load_scenario",
    "print_report",
    "run_day",
    "shrink",
    "with_faults",
]
