"""The plans that directors followed, as their logs tell: one a number, and how long they were apart."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path


@dataclass
class Plans:
    """`differing`: numbers of which two directors had different plans. `late_s`: from the first that followed
    a plan to the last that did before a later one came, the longest of all plans."""

    numbers: int = 0
    differing: list[int] = field(default_factory=list)
    late_s: float = 0.0
    states: dict[str, int] = field(default_factory=dict)  # how many plans had a zone in a state


def read_plans(logs: list[Path]) -> Plans:
    """Read what directors said of plans; one that fell back to its own sight follows none."""
    by_number: dict[int, dict[str, list[float]]] = {}
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if '"event": "plan"' not in line:
                continue
            said = json.loads(line)
            at = datetime.fromisoformat(said["timestamp"]).timestamp()
            text = json.dumps(said["zones"], sort_keys=True)
            by_number.setdefault(said["number"], {}).setdefault(text, []).append(at)
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
