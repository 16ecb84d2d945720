"""Ranges of the figures in a viewer's set-up that depend on the settings. No I/O.

The platform's pages list no ranges. What they say of usual viewers is accepted: three cells or more hold a
title, also where there are fewer; cells are counted modulo their number, so that a larger figure means all
of them; the highest rung of a viewer or class may lie above a short ladder. Figures far beyond these are
invalid.
"""

from __future__ import annotations

from foxlift import interface as fl
from foxlift.platform import viewers

MIN_TITLE_CELLS = 3  # cells that hold a title, whatever the number of cells
MAX_ROUNDS = 4  # how often a title's cells may go round all cells
MAX_RUNG = 9  # the highest rung that a class or viewer may be given, whatever the ladder


def invalid_figure(start: viewers.Start, settings: fl.Settings) -> str | None:
    """Return the name of a field whose figure is out of its range, or None."""
    if not 1 <= start.holders <= MAX_ROUNDS * max(settings.cells, MIN_TITLE_CELLS):
        return "extras.copies"
    if not 0 <= start.first_cell < settings.cells:
        return "extras.home"
    if not 0 <= start.top_rung <= max(MAX_RUNG, len(settings.ladder_kb) - 1):
        return "extras.top"
    return None
