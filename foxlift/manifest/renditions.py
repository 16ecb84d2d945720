"""Which renditions fit which rate. No I/O, no XML: what a session may see and what is booked for it are one.

A rung of the ladder is a rate for all that a session fetches. A player plays one rendition of each kind at a
time (video, audio, text), out of one of the choices that a Period offers of that kind: a language, a codec
family, a camera. So for a session:

- of audio, text and the like, what is at most a part (`SIDE_PART`) of its floor's rate may be played, at any
  rung: players choose sound by what comes through, and no cap reaches them there;
- video may take what the best of those leaves of the rung's rate;
- of every choice its lowest rendition may always be played, fit or not: never nothing.

The cap holds for the whole title, and the sound differs between its Periods. Where the cap that one Period
would need lets a player fetch more than the rate in another, it is lowered: the lowest renditions need none.

What is booked is the rate, or what may be played at most where a lowest rendition lies above it. The cap that
a player is told (CMSD `mb`) is that of video and sound together: dash.js takes the sound's rate off it before
it chooses video, Shaka holds the two together against it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

SIDE_PART = 0.25  # of the rate, for each kind beside video
VIDEO, AUDIO = "video", "audio"
TOLERANCE_KBPS = 1e-6  # between sums of the same rates in different order


@dataclass(frozen=True, slots=True)
class Rendition:
    """One Representation. `index` is its place in the document, `kbps` its @bandwidth in kbit/s."""

    index: int
    name: str
    kbps: float


@dataclass(frozen=True, slots=True)
class Choice:
    """Renditions between which a player switches while it plays, from the lowest rate up."""

    kind: str
    label: str
    renditions: tuple[Rendition, ...]

    @property
    def lowest(self) -> Rendition:
        """The rendition of the lowest rate."""
        return self.renditions[0]

    def best(self, cap_kbps: float) -> Rendition:
        """The highest within a cap; the lowest where none is."""
        return next((r for r in reversed(self.renditions) if r.kbps <= cap_kbps), self.lowest)


@dataclass(frozen=True, slots=True)
class Fit:
    """What a rate allows, kbit/s: a rendition of video, one of another kind, video with sound, and all."""

    video_kbps: float
    side_kbps: float
    cap_kbps: float
    total_kbps: float


@dataclass(frozen=True, slots=True)
class Misfit:
    """Something about a source that its operator should know; `index` is the Representation it is seen at."""

    index: int
    what: str


class Renditions:
    """All choices of a title, by Period."""

    def __init__(self, periods: Iterable[tuple[Choice, ...]]) -> None:
        self.periods = tuple(periods)
        self.kinds = frozenset(choice.kind for period in self.periods for choice in period)
        self._fits: dict[tuple[float, float], Fit] = {}

    def fit(self, rate_kb: float, floor_kb: float) -> Fit:
        """What may be played at a rate by a session with this floor (kB/s)."""
        key = (max(rate_kb, floor_kb), floor_kb)
        found = self._fits.get(key)
        if found is None:
            found = self._fits[key] = self._fit(key[0] * 8, floor_kb * 8)
        return found

    def _fit(self, rate: float, floor: float) -> Fit:
        # without video there is nothing to leave the rate to
        side_rate = floor * SIDE_PART if VIDEO in self.kinds else floor / max(len(self.kinds), 1)
        sides = [c for period in self.periods for c in period if c.kind != VIDEO]
        side = max((c.best(side_rate).kbps for c in sides), default=0.0)
        video = 0.0
        for period in self.periods:
            found = [c for c in period if c.kind == VIDEO]
            left = rate - sum(self._beside(period, side).values())
            video = max(video, max((c.best(left).kbps for c in found), default=0.0))
        total = self._most(video, side)
        while total > rate and (lower := self._next_lower(video)) is not None:
            # a cap holds for the whole title: a Period with more beside its video brings it down for all
            video, total = lower, self._most(lower, side)
        least = video if rate <= floor else self.fit(floor / 8, floor / 8).video_kbps
        cap = self._cap(video, side, least, max(rate, self._most(least, side)))
        return Fit(video, side, cap, self._fetchable(cap, side, least))

    def _cap(self, video: float, side: float, least: float, limit: float) -> float:
        """The highest cap up to this video with its sound under which no more than `limit` can be fetched."""
        wanted = max(self._video(p, video) + self._beside(p, side).get(AUDIO, 0.0) for p in self.periods)
        sums = {
            rendition.kbps + sound
            for period in self.periods
            for choice in period
            if choice.kind == VIDEO
            for rendition in choice.renditions
            for sound in self._sounds(period, side)
        }
        caps = sorted({cap for cap in sums if cap < wanted} | {wanted}, reverse=True)
        allowed = (cap for cap in caps if self._fetchable(cap, side, least) <= limit + TOLERANCE_KBPS)
        return next(allowed, caps[-1])

    def _fetchable(self, cap: float, side: float, least: float) -> float:
        """The most that a player can fetch at once which keeps to the cap.

        Nothing below the rendition for the rate `least` is listed, so that one is played whatever the cap.
        """
        most = 0.0
        for period in self.periods:
            beside = self._beside(period, side)
            others = sum(kbps for kind, kbps in beside.items() if kind != AUDIO)
            lowest = self._video(period, least)
            for sound in self._sounds(period, side):
                video = max(lowest, self._highest_video(period, cap - sound))
                most = max(most, video + sound + others)
        return most

    @staticmethod
    def _sounds(period: tuple[Choice, ...], side: float) -> set[float]:
        """The rates of sound that may be played; 0 where a Period has none."""
        sounds = {
            rendition.kbps
            for choice in period
            if choice.kind == AUDIO
            for rendition in choice.renditions
            if rendition.kbps <= choice.best(side).kbps
        }
        return sounds or {0.0}

    @staticmethod
    def _highest_video(period: tuple[Choice, ...], limit: float) -> float:
        """The highest rate of video up to a limit; 0 if there is none."""
        rates = (r.kbps for c in period if c.kind == VIDEO for r in c.renditions if r.kbps <= limit)
        return max(rates, default=0.0)

    @staticmethod
    def _beside(period: tuple[Choice, ...], side: float) -> dict[str, float]:
        """The most that each kind beside video takes."""
        found: dict[str, float] = {}
        for choice in period:
            if choice.kind != VIDEO:
                found[choice.kind] = max(found.get(choice.kind, 0.0), choice.best(side).kbps)
        return found

    @staticmethod
    def _video(period: tuple[Choice, ...], cap: float) -> float:
        return max((c.best(cap).kbps for c in period if c.kind == VIDEO), default=0.0)

    def _most(self, video: float, side: float) -> float:
        """The most that can be fetched at once."""
        return max(self._video(p, video) + sum(self._beside(p, side).values()) for p in self.periods)

    def _next_lower(self, cap: float) -> float | None:
        """The next lower cap that still changes anything."""
        choices = [c for period in self.periods for c in period if c.kind == VIDEO]
        floor = max((c.lowest.kbps for c in choices), default=0.0)
        below = {r.kbps for c in choices for r in c.renditions if floor <= r.kbps < cap}
        return max(below, default=None)

    def booked_kb(self, rate_kb: float, floor_kb: float) -> float:
        """What to book for a rate: the rate, or what its lowest renditions take (kB/s)."""
        return max(rate_kb, self.fit(rate_kb, floor_kb).total_kbps / 8)

    def listed(self, floor_kb: float, top_kb: float) -> frozenset[int]:
        """Which Representations a manifest lists for rates from one to the other.

        Of video none below what the floor's rate allows, and of every choice at least one.
        """
        low, high = self.fit(floor_kb, floor_kb), self.fit(top_kb, floor_kb)
        found: set[int] = set()
        for period in self.periods:
            for choice in period:
                if choice.kind == VIDEO:
                    top, least = choice.best(high.video_kbps), choice.best(low.video_kbps)
                    least = min(least, top, key=lambda r: r.kbps)
                else:
                    top, least = choice.best(low.side_kbps), choice.lowest
                found |= {r.index for r in choice.renditions if least.kbps <= r.kbps <= top.kbps}
        return frozenset(found)

    def misfits(self, ladder_kb: tuple[float, ...], floor: int) -> list[Misfit]:
        """What does not fit a ladder (kB/s, class scale included) from its floor on."""
        found: list[Misfit] = []
        floor_kb = ladder_kb[floor]
        fit = self.fit(floor_kb, floor_kb)
        if fit.total_kbps > floor_kb * 8 + 1e-6:
            worst = max(
                (c for period in self.periods for c in period if c.kind == VIDEO or VIDEO not in self.kinds),
                key=lambda c: c.lowest.kbps,
            )
            found.append(
                Misfit(
                    worst.lowest.index,
                    f"the lowest renditions take {fit.total_kbps:.0f} kbit/s together, the rate of the lowest"
                    f" rung allowed is {floor_kb * 8:.0f} kbit/s",
                )
            )
        shown = [self.fit(kb, floor_kb).video_kbps for kb in ladder_kb[floor:]]
        for k, (below, above) in enumerate(pairwise(shown), floor):
            if below == above and VIDEO in self.kinds:
                found.append(
                    Misfit(
                        self._at(below),
                        f"rungs {k} and {k + 1} ({ladder_kb[k] * 8:.0f} and"
                        f" {ladder_kb[k + 1] * 8:.0f} kbit/s) show the same video, up to {below:.0f} kbit/s",
                    )
                )
        video = [c for period in self.periods for c in period if c.kind == VIDEO]
        most = max((c.renditions[-1].kbps for c in video), default=0.0)
        if shown and most > shown[-1]:
            found.append(
                Misfit(
                    self._at(most),
                    f"a rendition of {most:.0f} kbit/s is above what the highest rung allows"
                    f" ({shown[-1]:.0f} kbit/s): nobody is shown it",
                )
            )
        return found

    def _at(self, kbps: float) -> int:
        return next(
            (r.index for p in self.periods for c in p for r in c.renditions if math.isclose(r.kbps, kbps)), 0
        )
