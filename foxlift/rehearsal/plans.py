"""Reads from directors' logs which zone plans they followed, and how long two plans were in use at once."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path


@dataclass
class Plans:
    """The plans of a day.

    `differing`: numbers for which two directors had different plans. `late_s`: the longest time from the
    first director that followed a plan to the last one before a later plan was in use.
    """

    numbers: int = 0
    differing: list[int] = field(default_factory=list)
    late_s: float = 0.0
    states: dict[str, int] = field(default_factory=dict)  # number of plans that had a zone in the state


def read_plans(logs: list[Path]) -> Plans:
    """Read the plans from logs. A director that fell back to its own observations follows none."""
    by_number: dict[int, dict[str, list[float]]] = {}
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if '"event": "plan"' not in line:
                continue
            entry = json.loads(line)
            at = datetime.fromisoformat(entry["timestamp"]).timestamp()
            text = json.dumps(entry["zones"], sort_keys=True)
            by_number.setdefault(entry["number"], {}).setdefault(text, []).append(at)
    found = Plans(len(by_number))
    firsts = {number: min(min(times) for times in texts.values()) for number, texts in by_number.items()}
    for number, texts in by_number.items():
        real = [text for text in texts if text != "{}"] if len(texts) > 1 else list(texts)
        if len(real) > 1:
            found.differing.append(number)
        later = firsts.get(number + 1, float("inf"))
        times = [at for at in texts[real[0]] if at < later]
        found.late_s = max(found.late_s, max(times, default=firsts[number]) - firsts[number])
        for state in json.loads(real[0]).values():
            found.states[state] = found.states.get(state, 0) + 1
    return found
