"""A small front to try a player at: one director, a few boxes, one title of real media, all on one loop."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qs, unquote

from foxlift import interface as fl
from foxlift.config import load_director
from foxlift.director.daemon import Daemon
from foxlift.http import Request
from foxlift.manifest import DashSource, Fit, Renditions
from foxlift.rehearsal.files import AUDIENCE, ISSUER, make_keys
from foxlift.standins.fleet import BoxPlan, Fleet, FleetPlan
from foxlift.tokens import Issuer, SessionToken

TITLE = "title"
ROOM = 2.5  # links carry so many sessions at the highest rung
_BUFFER = re.compile(r"(?:^|,)bl=(\d+)")

Say = Callable[[str], None]


@dataclass(frozen=True)
class TrialPlan:
    """What is tried: the media's folder and manifest, how many boxes, whether the session is paid."""

    media: Path
    manifest: Path
    boxes: int = 3
    paid: bool = False
    port: int = 0
    control_port: int = 0
    origins: tuple[str, ...] = ("*",)
    pause_s: float = 30.0


def ladder_of(renditions: Renditions) -> tuple[float, ...]:
    """A ladder (kB/s) whose rungs show one video rendition more each, with the sound beside it."""
    video = sorted({r.kbps for p in renditions.periods for c in p if c.kind == "video" for r in c.renditions})
    found: list[float] = []
    for kbps in video or [1.0]:
        rate = kbps / 8
        # the least rate that allows it: what is beside the video may take a part of its own
        floor = found[0] if found else None
        while _short(renditions.fit(rate, floor or rate), kbps, rate):
            rate *= 1.01
        found.append(round(rate + 0.5, 1))
    return tuple(found)


def _short(fit: Fit, kbps: float, rate: float) -> bool:
    return fit.video_kbps < kbps or fit.total_kbps > rate * 8


class Trial:
    """The front while it is up."""

    def __init__(self, plan: TrialPlan, folder: Path, say: Say) -> None:
        self.plan, self.folder, self._say = plan, folder, say
        self.loop = asyncio.get_running_loop()
        self._start = self.loop.time()
        self._buffers: dict[str, float] = {}

    async def start(self) -> str:
        """Start all; gives back the manifest's URL with a token.

        Raises ConfigError, ManifestError and OSError.
        """
        plan, folder = self.plan, self.folder
        source = plan.manifest.read_bytes()
        ladder = ladder_of(DashSource(source, plan.manifest.name).renditions)
        keys = make_keys(folder)
        (folder / "catalogue").mkdir(exist_ok=True)
        (folder / "catalogue" / "source.mpd").write_bytes(source)
        title = f'(title (name "{TITLE}") (first-cell 0) (holders {plan.boxes}) (manifest "source.mpd"))'
        (folder / "catalogue" / "catalogue.sexp").write_text(f"(catalogue (version 1) (titles {title}))")
        link = ladder[-1] * ROOM
        self.fleet = Fleet(
            FleetPlan(
                boxes=tuple(BoxPlan(f"b{k}", "here", "std", k, "r0", 50, link) for k in range(plan.boxes)),
                uplink_kb=link * plan.boxes,
                warm_up_ms=0.0,
                set_up_ms=20.0,
                scale=1.0,
                told_late_ms=300.0,
                tell_every_ms=2000.0,
                folder=str(plan.media),
                idle_s=plan.pause_s,
                control_port=plan.control_port,
                origins=plan.origins,
            ),
            self.loop,
        )
        await self.fleet.start()
        for box in self.fleet.boxes.values():
            box.on_segment = self._segment
        path = folder / "director.sexp"
        path.write_text(self._settings(ladder, link))
        self.daemon = Daemon(load_director(path), self.loop, trace=self._trace)
        port = await self.daemon.start()
        while len(self.daemon.core.boxes) < plan.boxes:
            await asyncio.sleep(0.01)
        self._issuer = Issuer(keys, ISSUER, AUDIENCE)
        return f"http://127.0.0.1:{port}/dash/{TITLE}/manifest.mpd?token={self.token('trial')}"

    def token(self, name: str) -> str:
        """A token for the title, for a day."""
        made = SessionToken(name, name, TITLE, "trial", "someone", int(time.time()) + 86_400)
        return self._issuer.issue(made)

    @property
    def control_url(self) -> str:
        """Where boxes are weakened, ended and brought back."""
        return f"http://127.0.0.1:{self.fleet.control_port}/"

    async def stop(self) -> None:
        """End all."""
        await self.daemon.stop(0.0)
        await self.fleet.stop()

    def _settings(self, ladder: tuple[float, ...], link: float) -> str:
        plan = self.plan
        worth = " ".join(f"{(k + 1) / len(ladder):.3f}" for k in range(len(ladder)))
        rungs = " ".join(f"{kb:g}" for kb in ladder)
        origins = " ".join(json.dumps(origin) for origin in plan.origins)
        return f"""; a trial
(director (name "try") (number 0) (directors 1) (zone here) (state "state")
  (fleet (ladder-kb {rungs}) (ladder-worth {worth}) (cells {plan.boxes}) (racks 1) (zones here) (kinds std)
    (kind-slots 50) (link-kb-per-weight {link:g}) (uplink-kb {link * plan.boxes:g}) (note-late-ms 300)
    (report-every-ms 2000) (stall-cost 6) (rung-change-s 0.5) (come-back-max-ms 1000)
    (classes (class (name "trial") (repeat {"once" if plan.paid else "free"}) (wanted-ms 2000)
      (deadline-ms 5000) (worth 1) (top {len(ladder) - 1}))))
  (front (port {plan.port}) (origins {origins})) (tokens (keys "keys.json") (issuer "{ISSUER}")
    (audience "{AUDIENCE}"))
  (catalogue (folder "catalogue")) (boxes (lost-after-ms 1000))
  (box-list (url "http://127.0.0.1:{self.fleet.list_port}/v3/discovery:endpoints") (retry-ms 200)))
"""

    # ---- What happens -------------------------------------------------------------------------------------
    def _tell(self, text: str) -> None:
        self._say(f"{self.loop.time() - self._start:7.1f} s  {text}")

    def _trace(self, now: float, event: fl.Event, actions: list[fl.Action]) -> None:
        boxes = self.daemon.core.boxes
        match event:
            case fl.Started(session, node):
                self._tell(f"session {session}: plays at {boxes[node].name}")
            case fl.Ended(session, node, _, outcome):
                name = boxes[node].name if node in boxes else "a box that is gone"
                self._tell(f"session {session}: over at {name} ({outcome.value})")
        for action in actions:
            match action:
                case fl.SetRung(session, rung):
                    found = self.daemon.core.sessions.get(session)
                    cap = self.daemon.core.reservation(found, rung).max_kbps if found is not None else 0
                    self._tell(f"session {session}: rung {rung}, up to {cap} kbit/s")
                case fl.SetUp(session, node):
                    self._tell(f"session {session}: set up at {boxes[node].name}")
                case fl.Refuse(session, come_back_ms):
                    self._tell(f"session {session}: refused, come back in {come_back_ms:.0f} ms")

    def _segment(self, box: str, set_up: str, request: Request) -> None:
        """The player's buffer by CMCD (CTA-5004 `bl`, ms), where it sends it; told when it has moved."""
        sent = request.headers.get("cmcd-request", "") or "".join(parse_qs(request.query).get("CMCD", []))
        found = _BUFFER.search(unquote(sent))
        if found is None:
            return
        buffer = int(found[1]) / 1000
        if abs(buffer - self._buffers.get(set_up, -9.0)) >= 2.0:
            self._buffers[set_up] = buffer
            self._tell(f"{box}: buffer {buffer:.1f} s")
