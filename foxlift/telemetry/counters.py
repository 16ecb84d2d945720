"""In-process counters; other packages export them."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by name and one label."""

    def __init__(self) -> None:
        self.values: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to the count of a name and label."""
        self.values[name, label] += amount

    def total(self, name: str) -> int:
        """The sum over all labels of a name."""
        return sum(amount for (counted, _), amount in self.values.items() if counted == name)
