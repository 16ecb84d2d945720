"""Terms of service for the tests of the checker and the ledgers."""

from __future__ import annotations

from foxlift.standins.checker import ClassTerms, Terms

GRADED = ClassTerms(True, 1.5, 3.0, 3.0, 0, 2)
BRIEFING = ClassTerms(False, 1.0, 5.0, 1.0, 0, 2)
TERMS = Terms(
    {"graded": GRADED, "briefing": BRIEFING},
    (0.25, 0.6, 1.0),
    (150, 450, 1100),
    {f"b{k}": 30 for k in range(4)},
    cold_multiple=2.0,
    cold_window_s=1.0,
    warm_up_s=2.0,
)
