"""Rounding to the digits that a calculation in floats determines.

A value that is right to a few units in the last place differs in its last bits between processors, library
versions and orders of summation. Rounded to `RELIABLE_DIGITS`, it is the same float on all of them unless it
lies within that difference of the middle between two rounded values.
"""

from __future__ import annotations

import math

RELIABLE_DIGITS = 12
"""Significant decimal digits; a float holds 15 to 17, so that over 1,000 units in the last place are left."""


def decimal_exponent(value: float) -> int:
    """The power of ten of the first significant digit, at `RELIABLE_DIGITS`: 2 for 250, -3 for 0.001.

    Taken from the decimal text: `math.log10` may be a unit in the last place below a whole number. Raises
    ValueError for 0 and for values that are not finite.
    """
    if value == 0 or not math.isfinite(value):
        raise ValueError(f"{value} has no decimal exponent")
    return int(f"{value:.{RELIABLE_DIGITS - 1}e}".partition("e")[2])


def reliable_decimals(largest: float) -> int:
    """Decimal places of the last reliable digit of a calculation whose largest value is `largest`."""
    return RELIABLE_DIGITS - 1 - decimal_exponent(largest)


def round_reliably(value: float, largest: float) -> float:
    """Round to the last reliable digit of `largest`, the largest value that `value` was calculated from.

    What is below half of that digit becomes 0. Without a finite `largest` other than 0, `value` stays.
    """
    if largest == 0 or not math.isfinite(largest) or not math.isfinite(value):
        return value
    # + 0.0 turns a negative zero into 0
    return round(value, reliable_decimals(largest)) + 0.0


def round_number(value: float) -> float:
    """Round to the reliable digits of the value itself, but a whole number of more digits stays whole."""
    if value == 0 or not math.isfinite(value):
        return value
    return round(value, max(reliable_decimals(value), 0))
