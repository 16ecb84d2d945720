"""Rows of the capacity page: what each role needs at the planned size, worked out of the measured series.

A row is a sum of terms. A term is a measured series at a size, times how often or how many; or a figure that
follows from the plan and the program's constants alone. A row one of whose series was not measured says so.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from bench.scale.curves import Catalogue, SeriesName
from bench.scale.fit import MAX_EXTRAPOLATION_FACTOR, Growth
from bench.scale.precision import round_number


class Quantity(Enum):
    """What a row is about; each role has at least one row of each."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class SeriesTerm:
    """`factor` times the series at `size`; with `per_unit`, its slope times `size`, without the constant."""

    series: SeriesName
    size: float
    factor: float = 1.0
    per_unit: bool = False


@dataclass(frozen=True, slots=True)
class WorkedOutTerm:
    """A figure without a measurement; `words` say how it follows."""

    value: float
    words: str


Term = SeriesTerm | WorkedOutTerm


@dataclass(frozen=True, slots=True)
class Row:
    """`budget` is the most that the value may be, in its unit; `missing` says why there is no mechanism."""

    name: str
    role: str
    quantity: Quantity
    what: str
    unit: str
    terms: tuple[Term, ...] = ()
    budget: float | None = None
    budget_of: str = ""
    missing: str = ""


class Verdict(Enum):
    """How a row stands to its budget."""

    OVER = "**OVER**"
    WITHIN = "within"
    NO_BUDGET = "-"
    NOT_MEASURED = "not measured"
    MISSING = "**missing**"


@dataclass(frozen=True, slots=True)
class Result:
    """A row's value with one standard error; `unmeasured` names series without a figure at that size."""

    row: Row
    value: float
    error: float
    measured_terms: int
    unmeasured: tuple[str, ...]
    files: tuple[str, ...]
    transports: tuple[str, ...]
    words: tuple[str, ...]
    extrapolation_factor: float

    @property
    def is_whole(self) -> bool:
        """Whether every term has its figure."""
        return not self.unmeasured and not self.row.missing

    @property
    def has_figure(self) -> bool:
        """Whether any term has its figure: then the value is at least that."""
        return self.measured_terms > 0

    @property
    def is_far(self) -> bool:
        """Whether a series was extrapolated beyond the stated factor."""
        return self.extrapolation_factor > MAX_EXTRAPOLATION_FACTOR

    @property
    def verdict(self) -> Verdict:
        """A partial sum over the budget is over it whatever the rest; one below it proves nothing."""
        if self.row.missing:
            return Verdict.MISSING
        if self.row.budget is not None and self.has_figure and self.value > self.row.budget:
            return Verdict.OVER
        if not self.is_whole:
            return Verdict.NOT_MEASURED
        return Verdict.NO_BUDGET if self.row.budget is None else Verdict.WITHIN


@dataclass(frozen=True, slots=True)
class _TermValue:
    value: float
    error: float
    factor: float


def evaluate(row: Row, catalogue: Catalogue) -> Result:
    """Work a row out of what was measured."""
    values: list[_TermValue] = []
    unmeasured: list[str] = []
    files: list[str] = []
    transports: list[str] = []
    words: list[str] = []
    for term in row.terms:
        if isinstance(term, WorkedOutTerm):
            values.append(_TermValue(term.value, 0.0, 1.0))
            words.append(term.words)
            continue
        found = _series_term(term, catalogue)
        if found is None:
            unmeasured.append(str(term.series))
            continue
        values.append(found)
        files.append(catalogue.series[term.series].file)
        transports.append(term.series.transport)
    return Result(
        row=row,
        value=round_number(math.fsum(value.value for value in values)),
        error=math.sqrt(sum(value.error**2 for value in values)),
        measured_terms=len(values),
        unmeasured=tuple(unmeasured),
        files=tuple(dict.fromkeys(files)),
        transports=tuple(dict.fromkeys(transports)),
        words=tuple(words),
        extrapolation_factor=max((value.factor for value in values), default=1.0),
    )


def evaluate_all(rows: Sequence[Row], catalogue: Catalogue) -> dict[str, Result]:
    """Every row by its name. Raises ValueError for two rows of one name."""
    if len({row.name for row in rows}) < len(rows):
        raise ValueError("two rows have one name")
    return {row.name: evaluate(row, catalogue) for row in rows}


def _series_term(term: SeriesTerm, catalogue: Catalogue) -> _TermValue | None:
    series = catalogue.find(term.series)
    if series is None:
        return None
    if not term.per_unit:
        found = series.at(term.size, allow_extrapolation=True)
        if found is None:
            return None
        return _TermValue(found.value * term.factor, found.error * term.factor, found.extrapolation_factor)
    model = series.model
    if model is None:
        return None
    beyond = max(term.size / series.sizes[-1], 1.0)
    if isinstance(model, Growth):  # no cost of one more: what so many cost together
        curve = model.predict(term.size, allow_extrapolation=True)
        return _TermValue(curve.value * term.factor, curve.error * term.factor, beyond)
    count = term.size * term.factor
    return _TermValue(model.slope * count, model.slope_error * count, beyond)
