"""Takeovers at a media server, over its sockets: which requests it refuses while their owner is alive."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from sockets import Reply, World, ask, run

from foxlift.standins.owners import RECENT_REQUEST_MS

ANY_RUN = 0


async def take(world: World, owner: str, upto: int, by: str, run: int) -> Reply:
    """Ask the first media server for the sessions of `owner` in runs up to `upto`."""
    server = min(world.fleet.boxes.values(), key=lambda box: box.port)
    order = json.dumps({"of": owner, "upto": upto, "by": by, "run": run}).encode()
    return await ask(server.port, "/takeovers", "POST", body=order)


def test_a_new_run_without_a_stream_yet_is_not_fenced_by_a_request_for_any_run(tmp_path: Path) -> None:
    """Guards against a sweep between a restarted director's first request at a server and its stream."""

    async def script(world: World) -> None:
        assert (await take(world, "d7", 19, "d7", 20)).status == 200
        swept = await take(world, "d7", ANY_RUN, "d8", 5)
        assert (swept.status, swept.headers.get("foxlift-refusal")) == (409, "alive")
        assert (await take(world, "d7", 19, "d7", 20)).status == 200  # run 20 goes on

    run(tmp_path, script)


def test_a_run_that_ended_unheard_is_taken_over_once_it_has_been_silent(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        assert (await take(world, "d7", 19, "d7", 20)).status == 200
        assert (await take(world, "d7", 19, "d8", 5)).status == 200  # an earlier run: nothing to wait for
        await asyncio.sleep(RECENT_REQUEST_MS / 1000 + 0.2)
        assert (await take(world, "d7", ANY_RUN, "d8", 5)).status == 200
        late = await take(world, "d7", 19, "d7", 20)
        assert (late.status, late.headers.get("foxlift-fence")) == (409, "20")

    run(tmp_path, script)
