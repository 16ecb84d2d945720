"""Numbers as the pages write them.

A value is first rounded to its reliable digits: a half in the digit after the last one written is then
rounded the same way for values that differ by a few units in the last place.
"""

from __future__ import annotations

import math

from bench.scale.precision import decimal_exponent, round_number

SIGNIFICANT_DIGITS = 3
NEGLIGIBLE_ERROR = 1e-5
"""Of the value: what is counted exactly has rounding for its only error."""


def number(value: float) -> str:
    """Whole numbers whole, others to three significant digits; commas, no exponent: 0.0123, 4.5, 4,199."""
    if not math.isfinite(value):
        return str(value)
    value = round_number(value)
    if value == round(value):
        return f"{value:,.0f}"
    digits = SIGNIFICANT_DIGITS - 1 - decimal_exponent(value)
    rounded = round(value, digits)
    decimals = max(digits, 0)
    text = f"{rounded:,.{decimals}f}"
    return text.rstrip("0").rstrip(".") if decimals else text


def with_error(value: float, error: float) -> str:
    """The value and its standard error, which sets the digits; the value alone where the error is next to 0.

    An error under a thousandth of the value would give it more digits than anybody reads.
    """
    value, error = round_number(value), round_number(error)
    if error <= NEGLIGIBLE_ERROR * abs(value) or not math.isfinite(error):
        return number(value)
    leading = max(error, abs(value) / 1000)
    decimals = max(1 - decimal_exponent(leading), 0)
    digits = 1 - decimal_exponent(error)
    shown = f"{round(error, digits):,.{max(digits, 0)}f}"
    return f"{round(value, decimals if decimals else digits):,.{decimals}f} ± {shown}"
