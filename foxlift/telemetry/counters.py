"""Plain counters; what is exported of them is another package's matter."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by name and one label."""

    def __init__(self) -> None:
        self.values: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str = "", amount: int = 1) -> None:
        """Count."""
        self.values[name, label] += amount

    def total(self, name: str) -> int:
        """Sum over all labels of a name."""
        return sum(amount for (found, _), amount in self.values.items() if found == name)
