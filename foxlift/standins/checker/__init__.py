"""Judges the rules of a day from the captured traffic, and from that alone.

The checker shares no code with the program that it checks: it has its own reading of HTTP, JSON, DASH and
tokens, on the standard library only. What it has to know of the fleet is handed to it as `Terms`, made from
the scenario and not from any director's settings.

`capture`, `messages`, `tokens`, `manifests` and `discovery` read what was written down, `traffic` is the
read-only view of a whole day, each module of `rules` judges it by one rule, `service` and
`spent_tokens` measure it, and `checker` runs them.
"""

from foxlift.standins.checker.capture import read_records
from foxlift.standins.checker.checker import Checker
from foxlift.standins.checker.terms import ClassTerms, Terms
from foxlift.standins.checker.verdict import Broken, Service, Verdict

__all__ = [
    "Broken",
    "Checker",
    "ClassTerms",
    "Service",
    "Terms",
    "Verdict",
    "read_records",
]
