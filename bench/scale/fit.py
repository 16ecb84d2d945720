"""Straight lines through measurements over growing sizes, and what they predict.

Ordinary least squares with the textbook standard errors (Draper and Smith, Applied Regression Analysis,
chapter 1). Sums are exact, in fractions, so that they do not depend on the order of the measurements or on
the processor; results are rounded to the digits that the measured values determine.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from fractions import Fraction

from bench.scale.precision import decimal_exponent, reliable_decimals, round_reliably
from bench.scale.results import Measurement

MIN_SIZES = 3
"""Two sizes give a line but no error of it."""

MAX_EXTRAPOLATION_FACTOR = 20

SUPERLINEAR_EXPONENT = 1.15
"""Growth up to this exponent is taken for a line: a sort's `n log n` lies below it over our sizes."""


class FitError(ValueError):
    """Measurements through which no line can be drawn."""


class ExtrapolationError(ValueError):
    """A prediction too far from the measured sizes, asked for without saying so."""


@dataclass(frozen=True, slots=True)
class Prediction:
    """A value on the line with one standard error of a single new measurement there."""

    size: float
    value: float
    error: float
    extrapolation_factor: float

    @property
    def is_far(self) -> bool:
        """Whether the size lies outside the measured ones by more than the stated factor."""
        return self.extrapolation_factor > MAX_EXTRAPOLATION_FACTOR


@dataclass(frozen=True, slots=True)
class LinearFit:
    """`value = constant + slope * size`, with one standard error of each."""

    constant: float
    slope: float
    constant_error: float
    slope_error: float
    scatter: float
    """Standard deviation of a single measurement about the line."""
    sizes: tuple[int, ...]

    def predict(self, size: float, *, allow_extrapolation: bool = False) -> Prediction:
        """Return the line's value at `size`.

        Raises `ExtrapolationError` when `size` is over 20 times the largest measured size, or under a 20th
        of the smallest, and `allow_extrapolation` is not set.
        """
        factor = _extrapolation_factor(self.sizes, size, allow_extrapolation)
        mean_size = sum(self.sizes) / len(self.sizes)
        line_variance = self.scatter**2 / len(self.sizes) + (self.slope_error * (size - mean_size)) ** 2
        error = math.sqrt(self.scatter**2 + line_variance)
        rise = self.slope * size
        value = round_reliably(self.constant + rise, max(abs(self.constant), abs(rise)))
        return Prediction(size, value, error, factor)


@dataclass(frozen=True, slots=True)
class Growth:
    """`value = coefficient * size ** exponent`: how fast a quantity grows, whatever its constant."""

    exponent: float
    exponent_error: float
    coefficient: float
    scatter: float
    """Standard deviation of a measurement about the curve, of the natural logarithm of its value."""
    sizes: tuple[int, ...]

    @property
    def is_superlinear(self) -> bool:
        """Whether the quantity grows clearly faster than its size, so that a line promises too little."""
        return self.exponent - 2 * self.exponent_error > SUPERLINEAR_EXPONENT

    def predict(self, size: float, *, allow_extrapolation: bool = False) -> Prediction:
        """Return the curve's value at `size`. Raises as `LinearFit.predict` does."""
        factor = _extrapolation_factor(self.sizes, size, allow_extrapolation)
        mean_logarithm = math.fsum(math.log(measured) for measured in self.sizes) / len(self.sizes)
        distance = math.log(size) - mean_logarithm
        line_variance = self.scatter**2 / len(self.sizes) + (self.exponent_error * distance) ** 2
        value = self.coefficient * size**self.exponent
        return Prediction(size, value, value * math.sqrt(self.scatter**2 + line_variance), factor)


Model = LinearFit | Growth


@dataclass(frozen=True, slots=True)
class HeldBack:
    """A size kept out of the fit: what the other sizes predict for it, beside what was measured."""

    predicted: Prediction
    measured: Measurement

    @property
    def deviation(self) -> float:
        """Measured less predicted, in standard errors of both; infinite if neither has any."""
        largest = max(abs(self.measured.value), abs(self.predicted.value))
        difference = round_reliably(self.measured.value - self.predicted.value, largest)
        error = math.hypot(self.predicted.error, self.measured.error)
        if error == 0:
            return 0.0 if difference == 0 else math.copysign(math.inf, difference)
        return difference / error


def fit(measurements: Sequence[Measurement]) -> LinearFit:
    """Draw the least-squares line through measurements of one quantity.

    The scatter is the greater of what the residuals show and what the measurements say of themselves, so
    that a few points which happen to lie on a line do not look exact. Raises `FitError` for measurements of
    different quantities and for fewer than three sizes.
    """
    _check_same_quantity(measurements)
    return _least_squares(
        measurements,
        [measurement.size for measurement in measurements],
        largest=_largest_value(measurements),
    )


def growth(measurements: Sequence[Measurement]) -> Growth:
    """Fit a power law: least squares over logarithms, so each measurement counts by its relative error.

    Raises `FitError` as `fit` does, and for values that are not above 0 by more than the rounding of the
    largest one.
    """
    _check_same_quantity(measurements)
    if not _are_above_zero(measurements):
        raise FitError("a power law needs values above 0")
    logarithms = [
        replace(
            measurement,
            value=math.log(measurement.value),
            error=measurement.error / measurement.value,
        )
        for measurement in measurements
    ]
    line = _least_squares(
        logarithms,
        [math.log(measurement.size) for measurement in measurements],
        # the last digit of a value is a relative error, and so an absolute one of its logarithm
        largest=max(1.0, _largest_value(logarithms)),
    )
    return Growth(line.slope, line.slope_error, math.exp(line.constant), line.scatter, line.sizes)


def model(measurements: Sequence[Measurement]) -> Model:
    """The straight line, or the power law where the quantity clearly grows faster than its size."""
    line = fit(measurements)
    if not _are_above_zero(measurements):
        return line
    curve = growth(measurements)
    return curve if curve.is_superlinear else line


def hold_back(measurements: Sequence[Measurement], size: int) -> HeldBack:
    """Fit all sizes but one (`model`) and predict that one, however far it lies from the others.

    Raises `FitError` if `size` was not measured exactly once or too few sizes remain.
    """
    held = [measurement for measurement in measurements if measurement.size == size]
    if len(held) != 1:
        raise FitError(f"size {size} was measured {len(held)} times, once is needed to hold it back")
    others = [measurement for measurement in measurements if measurement.size != size]
    predicted = model(others).predict(size, allow_extrapolation=True)
    return HeldBack(predicted, held[0])


def _check_same_quantity(measurements: Sequence[Measurement]) -> None:
    if not measurements:
        raise FitError("no measurements")
    for field in ("what", "role", "unit", "size_unit", "transport"):
        found = sorted({getattr(measurement, field) for measurement in measurements})
        if len(found) > 1:
            raise FitError(f"measurements of different {field}: {', '.join(found)}")


def _largest_value(measurements: Sequence[Measurement]) -> float:
    return max(abs(measurement.value) for measurement in measurements)


def _are_above_zero(measurements: Sequence[Measurement]) -> bool:
    """Whether every value is above 0 by more than the rounding of the largest one."""
    largest = _largest_value(measurements)
    return all(round_reliably(measurement.value, largest) > 0 for measurement in measurements)


def _least_squares(
    measurements: Sequence[Measurement], positions: Sequence[float], *, largest: float
) -> LinearFit:
    """The line through the values at `positions`, rounded to the last reliable digit of `largest`."""
    if len(set(positions)) < MIN_SIZES:
        raise FitError(f"{len(set(positions))} sizes measured, {MIN_SIZES} needed for a line with its error")
    count = len(measurements)
    places = [Fraction(position) for position in positions]
    values = [Fraction(measurement.value) for measurement in measurements]
    mean_place, mean_value = sum(places) / count, sum(values) / count
    spread = sum((place - mean_place) ** 2 for place in places)
    slope = sum((place - mean_place) * value for place, value in zip(places, values, strict=True)) / spread
    constant = mean_value - slope * mean_place
    residual_squares = sum(
        (value - constant - slope * place) ** 2 for place, value in zip(places, values, strict=True)
    )
    stated_squares = sum(Fraction(measurement.error) ** 2 for measurement in measurements)
    scatter = round_reliably(math.sqrt(max(residual_squares / (count - 2), stated_squares / count)), largest)
    return LinearFit(
        constant=round_reliably(float(constant), largest),
        slope=_round_slope(float(slope), largest, max(positions) - min(positions)),
        constant_error=scatter * math.sqrt(Fraction(1, count) + mean_place**2 / spread),
        slope_error=scatter / math.sqrt(spread),
        scatter=scatter,
        sizes=tuple(sorted(measurement.size for measurement in measurements)),
    )


def _round_slope(slope: float, largest: float, distance: float) -> float:
    """Round to what moves the line over `distance` by about the last reliable digit of `largest`."""
    if largest == 0:
        return slope
    return round(slope, reliable_decimals(largest) + decimal_exponent(distance)) + 0.0


def _extrapolation_factor(sizes: Sequence[int], size: float, allow_extrapolation: bool) -> float:
    factor = max(size / max(sizes), min(sizes) / size, 1.0)
    if factor > MAX_EXTRAPOLATION_FACTOR and not allow_extrapolation:
        raise ExtrapolationError(
            f"{size:g} is {factor:.0f} times beyond the measured sizes {min(sizes)} to {max(sizes)}; "
            f"over {MAX_EXTRAPOLATION_FACTOR} needs allow_extrapolation"
        )
    return factor
