"""Tariffs: prices of an attempt and of an hour of play, in versions that apply from a date.

    (tariff (currency "EUR")
      (versions
        (from (date "2026-01-01")
          (prices (price (class "graded-lesson") (attempt-micros 1500000))
                  (price (class "briefing-replay") (hour-micros 100000 200000 400000 800000))))))

`hour-micros` has one price a rung; the last one applies to all rungs above. Dates begin at 00:00 UTC.
"""

from __future__ import annotations

from bisect import bisect_right
from datetime import UTC, datetime
from functools import lru_cache
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.config.forms import ConfigError, SourcePosition, bind, read_forms

Micros = Annotated[int, Meta(ge=0, le=10**15)]
HOUR_MS = 3_600_000


class _Price(msgspec.Struct, frozen=True, tag="price", rename={"klass": "class"}):
    klass: str
    attempt_micros: Micros = 0
    hour_micros: tuple[Micros, ...] = ()


class _Version(msgspec.Struct, frozen=True, tag="from"):
    date: Annotated[str, Meta(pattern=r"^\d{4}-\d{2}-\d{2}$")]
    prices: tuple[_Price, ...]


class _Tariff(msgspec.Struct, frozen=True):
    currency: Annotated[str, Meta(pattern="^[A-Z]{3}$")]
    versions: Annotated[tuple[_Version, ...], Meta(min_length=1)]


class Tariff:
    """Prices by date, class and rung."""

    def __init__(self, form: _Tariff, place: SourcePosition) -> None:
        self.currency = form.currency
        self._starts: list[int] = []
        self._prices: list[dict[str, _Price]] = []
        for version in form.versions:
            try:
                start = int(datetime.fromisoformat(version.date).replace(tzinfo=UTC).timestamp() * 1000)
            except ValueError as error:
                raise ConfigError(place, "tariff.versions.from.date", str(error)) from error
            if self._starts and start <= self._starts[-1]:
                raise ConfigError(place, "tariff.versions", f"{version.date} does not follow the one before")
            if len({price.klass for price in version.prices}) != len(version.prices):
                raise ConfigError(place, "tariff.versions", f"{version.date}: two prices for one class")
            self._starts.append(start)
            self._prices.append({price.klass: price for price in version.prices})

    def version(self, at_ms: int) -> int:
        """The version that applies at a time; before the first one begins, the first."""
        return max(bisect_right(self._starts, at_ms) - 1, 0)

    def boundaries(self, first_ms: int, last_ms: int) -> list[int]:
        """Times strictly between the two at which another version begins."""
        return [start for start in self._starts[1:] if first_ms < start < last_ms]

    def attempt(self, version: int, klass: str) -> int:
        """Price of one attempt, millionths of the currency unit."""
        price = self._prices[version].get(klass)
        return 0 if price is None else price.attempt_micros

    def hour(self, version: int, klass: str, rung: int) -> int:
        """Price of an hour at a rung, millionths of the currency unit."""
        price = self._prices[version].get(klass)
        if price is None or not price.hour_micros:
            return 0
        return price.hour_micros[min(rung, len(price.hour_micros) - 1)]


def read_tariff(text: str, file: str) -> Tariff:
    """Parse a tariff. Raises ConfigError."""
    return Tariff(bind(read_forms(text, file), _Tariff, "tariff"), SourcePosition(file, 1, 1))


def load_tariff(path: Path) -> Tariff:
    """Read a tariff file. Raises ConfigError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(SourcePosition(str(path), 1, 1), "", f"cannot be read: {error}") from error
    return read_tariff(text, str(path))


@lru_cache(maxsize=10_000)
def _month_of_day(day: int) -> str:
    return datetime.fromtimestamp(day * 86_400, UTC).strftime("%Y-%m")


def period_of(at_ms: int) -> str:
    """The billing period of a time: its month, UTC."""
    return _month_of_day(at_ms // 86_400_000)


@lru_cache(maxsize=1000)
def period_start(period: str) -> int:
    """First millisecond of a period. Raises ValueError."""
    return int(datetime.strptime(period + "-01", "%Y-%m-%d").replace(tzinfo=UTC).timestamp() * 1000)


@lru_cache(maxsize=1000)
def next_period(period: str) -> str:
    """The following period."""
    year, month = int(period[:4]), int(period[5:7])
    return f"{year + month // 12:04d}-{month % 12 + 1:02d}"
