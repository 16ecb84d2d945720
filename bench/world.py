"""A fleet and a director on one loop, from a scenario, for the measurements."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from foxlift.config import load_director
from foxlift.director.daemon import Daemon
from foxlift.rehearsal import Scenario, built_in, files
from foxlift.standins.fleet import Fleet
from foxlift.tokens import Issuer, SessionToken


class FleetAndDirector:
    """Everything on one loop; `boxes` large enough never to be what is short."""

    def __init__(
        self,
        folder: Path,
        loop: asyncio.AbstractEventLoop,
        scenario: Scenario | None = None,
        list_port: int | None = None,
    ) -> None:
        day = scenario or roomy()
        self.scenario, self.folder, self.loop = day, folder, loop
        self.list_port = list_port
        self.issuer = Issuer(files.make_keys(folder), files.ISSUER, files.AUDIENCE)
        files.make_catalogue(folder / "catalogue", day)
        self.fleet: Fleet | None = None

    async def start(self) -> int:
        """Start all; gives back the director's port."""
        day = self.scenario
        if self.list_port is None:
            self.fleet = Fleet(files.fleet_plan(day, [{}] * day.boxes, 1), self.loop)
            await self.fleet.start()
            self.list_port = self.fleet.list_port
        path = self.folder / "d0.sexp"
        path.write_text(files.director_settings(day, 0, self.list_port, "", 1))
        self.daemon = Daemon(load_director(path), self.loop)
        port = await self.daemon.start()
        while len(self.daemon.core.boxes) < day.boxes:
            await asyncio.sleep(0.01)
        return port

    def keep_sessions(self) -> None:
        """Sessions that nobody fetches segments of go on all the same."""
        if self.fleet is not None:
            for box in self.fleet.boxes.values():
                box.idle_s = 1e9

    def token(self, claim: str, klass: str = "briefing-replay", title: str = "t0") -> str:
        """A token of this world."""
        return self.issuer.issue(
            SessionToken(claim, f"viewer-{claim}", title, klass, "north", 2_000_000_000, best_rung=0)
        )


def roomy() -> Scenario:
    """A fleet with room for any number of sessions at the lowest rung."""
    day = built_in("bad-day")
    return msgspec.structs.replace(
        day,
        directors=1,
        link_kb=1e9,
        uplink_kb=1e10,
        places=1_000_000,
        set_up_ms=1.0,
        steps=(),
        warm_up_ms=0.0,
        classes=tuple(
            msgspec.structs.replace(
                mix, terms=msgspec.structs.replace(mix.terms, floor=0, seats=0, wanted_ms=mix.terms.wanted_ms)
            )
            for mix in day.classes
        ),
    )
