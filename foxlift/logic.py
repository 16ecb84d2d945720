"""Every decision of a director. Settings, events and actions are defined in foxlift/interface.py.

The mechanism is transaction-least-work-left (docs/design.md): a new session goes to its title's holder with
the least weighted work in this director's own counters, at the highest rung that keeps the link's estimated
use under a mark below full.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from foxlift import interface as fl

# ---- Constants --------------------------------------------------------------------------------------------
MARK = 0.95  # share of a link; the rest is left for true rates above the ladder and other directors' set-ups
BEAT_MS = 50.0  # ms; how often held requests are looked at again
MARK_FALLS = 0.08  # by how much the mark falls for each halving of the worth earned for each kB a second
HOLD_PART = 0.4  # share of the wanted time for which a request is held: its set-up must still fit in
TRY_PART = 0.6  # share of the wanted time that a repeatable set-up may take before the next holder is tried
COLD_FILL = 0.7  # requests expected in one turn at a cold node, of all directors that share it
ALL_CELLS = -1  # stands for every cell where requests are counted by cell
CROWD_MAX = (
    3.0  # of the mean over cells: a crowd for one cell counts up to this, the rest finds other holders
)
COLD_PART = 0.7  # share of a cold node's budget that is used; the rest is for unequal set-up costs
SUSPEND_MS = 1000.0  # ms; first suspension of a node that failed; doubles with each further failure
SUSPEND_MAX_MS = 8000.0  # ms; longest suspension: a node is back in service seconds after it returns
ASK_LIST_MS = 1000.0  # ms; wait before asking a list service that failed again, so as not to add to its load
STRIKES = 2  # failures in a row, each of which may be the session's own fault, that suspend a node
FULL = 1.03  # use of a pipe above which own sessions there are lowered
SHED_TO = 0.97  # use of a pipe down to which they are lowered
RAISE_GAP = 0.05  # how far under the mark for new sessions playing ones are raised: a gap, against flapping
RAISE_AFTER_MS = 8000.0  # ms; room must have lasted so long: longer than news take to show a change
RAISE_NEWS = 3.0  # rounds of reports that take less than that are waited for instead
RAISE_FIRST = 0.5  # the same for a pipe just come to know, as a part: time to hear of it
RAISE_PART = 0.5  # part of a rack's room that all directors together raise into in one round
RAISE_REPAYS = 4.0  # a raise must gain so many times what the change costs
LEFT_S = 20.0  # s; expected rest of a session without a hint
LEFT_LEAST_S = 4.0  # s; least expected rest of a session whose hint has run out
SHORT = 0.98  # share delivered under which sessions lose worth, and nodes tell of it
LEAST_SHARE = 0.2  # a smaller share delivered is taken for this one: one lowering never overshoots by much
LEAST_KB = 1.0  # kB a second; no pipe is taken to give less, as shares of it are worked out
SETTLE_MS = 1000.0  # ms; shares delivered are smoothed over about this time, so they show a change late
RECOVER = 2.0  # times that wait: an uplink that was found weak is by then believed to be as told again
LEAN = 1.5  # how much more than an even part of the sessions on a node another director may have
SHORT_LASTS_MS = 2500.0  # ms; notes of short delivery come each second; without more it is over
AGREE = 0.15  # shares delivered that differ by less may have one cause: an uplink gives all the same
AGREE_MS = 1500.0  # ms; two nodes of a rack that fall short within this time share a cause
LINK_EXPLAINS = 0.9  # asked of the link times share delivered: about 1 where the link is what is short
UNHEARD = 0.6  # use of a link while nothing at all has been heard: a fresh director starts at middling rungs
USUAL_OF = 20  # pieces of news over which the usual use of a link is averaged: some seconds' worth
UNSURE = 0.2  # how much above the average an unheard link counts for a director with hardly any session
REPORT_AGE_MS = 400.0  # ms; typical age of a report in an answer, refreshed now and then and sent late
LOGGED = 200  # own changes kept between two pieces of news on a pipe


class _State(Enum):
    HELD = 0
    SETTING_UP = 1
    PLAYING = 2


@dataclass(slots=True)
class _Session:
    ask: fl.Ask
    asked_at: float
    deadline: float
    state: _State = _State.HELD
    answered: bool = False
    may_have_run: bool = False
    attempts: int = 0
    sent_at: float = 0.0
    node: _Node | None = None
    rung: int = 0
    kb: float = 0.0
    tried: list[int] = field(default_factory=list)


@dataclass(slots=True)
class _Pipe:
    """A node's link or a rack's uplink: what is asked of it, heard and booked."""

    told_kb: float
    kb: float  # what it gives: told, or learned from short delivery
    own_kb: float = 0.0  # asked by this director's own sessions, set-ups included
    use: float | None = None  # last heard: asked over given
    moment: float = -1e18  # when that was true
    changes: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=LOGGED))
    short_until: float = -1e18
    shed_at: float = -1e18  # when own sessions were last lowered for it
    strained_at: float = -1e18  # when it was last seen too full
    raised_at: float = -1e18
    learned_at: float = 0.0
    changed_kb: float = 0.0  # sum of the changes since the last news
    nodes: list[_Node] = field(default_factory=list)  # what it carries

    def book(self, now: float, kb: float) -> None:
        self.own_kb += kb
        self.changed_kb += kb
        self.changes.append((now, kb))

    def tell(self, use: float, moment: float) -> None:
        """Take news in, unless something later is known."""
        if moment >= self.moment:
            self.use, self.moment = use, moment
            while self.changes and self.changes[0][0] <= moment:
                self.changes.popleft()
            self.changed_kb = sum(kb for _, kb in self.changes)

    def heard_use(self) -> float | None:
        """Last news, corrected by this director's own starts, ends and rung changes since their moment."""
        if self.use is None:
            return None
        return max(self.use + self.changed_kb / self.kb, self.own_kb / self.kb)


@dataclass(slots=True)
class _Node:
    info: fl.NodeInfo
    link: _Pipe
    rack: _Pipe
    sessions: dict[int, _Session] = field(default_factory=dict)
    low: dict[int, _Session] = field(default_factory=dict)  # those that play below their best rung
    setting_up: int = 0
    playing_kb: float = 0.0
    cold_since: float = -1e18
    strikes: int = 0
    suspensions: int = 0
    suspended_until: float = 0.0
    share: float = 1.0  # last told share delivered, and when
    share_at: float = -1e18
    sent_at: float = -1e18  # when this director last sent a set-up there


def _mix(*numbers: int) -> int:
    """A stable 64-bit hash of whole numbers (splitmix64 steps)."""
    h = 0
    for number in numbers:
        h = (h ^ number) + 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        h = (h ^ h >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        h = (h ^ h >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        h ^= h >> 31
    return h


class Director:
    """Decides for the sessions that one director takes; knows only its own events."""

    def __init__(self, settings: fl.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.best_yield = max(1e-9, *(self._yield(klass, klass.floor) for klass in settings.classes))
        rungs = range(len(settings.ladder_kb))
        self.rates = [[kb * klass.rate_scale for kb in settings.ladder_kb] for klass in settings.classes]
        self.marks = [[self._mark(klass, rung) for rung in rungs] for klass in settings.classes]
        news_ms = RAISE_NEWS * settings.report_every_ms or RAISE_AFTER_MS
        self.raise_after = min(news_ms, RAISE_AFTER_MS)  # ms; how long room must have lasted
        self.rack_uses: dict[int, float] = {}  # by rack, while nothing has changed: many are placed in a row
        self.nodes: dict[int, _Node] = {}
        self.cells: dict[int, list[_Node]] = {}
        self.racks: dict[int, _Pipe] = {}
        self.sessions: dict[int, _Session] = {}
        self.held: dict[int, _Session] = {}
        self.seats: dict[tuple[int, int], int] = {}
        self.asks: deque[float] = deque()
        self.extras: deque[float] = deque()
        self.cell_asks: dict[int, tuple[float, float]] = {}  # by cell: requests for it, as of when
        self.started_at = math.inf  # when the first event came
        self.playing = 0  # own sessions that play, and their rates
        self.playing_kb = 0.0
        self.usual_use = UNHEARD  # of a link: a mean of the latest news, of whichever link
        self.news = 1
        self.beating = False  # whether a timer for held requests is out
        self.ask_list_at = -math.inf if settings.list_by_ask else math.inf  # when to ask for the node list
        self.shares: tuple[float, ...] = ()  # by zone, of the plan in force; empty: there is none
        self.now = 0.0
        self.actions: list[fl.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            fl.NodeList: self._list,
            fl.Ask: self._take,
            fl.Started: self._started,
            fl.Ended: self._ended,
            fl.Note: self._note,
            fl.Resumed: self._resumed,
            fl.Withdrawn: self._withdrawn,
            fl.Wake: self._beat,
            fl.Probed: lambda event: self._heard(self.nodes.get(event.node), event.load),
            fl.ZoneShares: self._planned,
        }

    def handle(self, now: float, event: fl.Event) -> list[fl.Action]:
        """Take one event in; give back the actions in the order in which they are to be carried out."""
        self.now, self.actions = now, []
        self.started_at = min(self.started_at, now)
        self.rack_uses.clear()
        if now >= self.ask_list_at:
            self.ask_list_at = math.inf
            self.actions.append(fl.WatchList(True))
        self.handlers[type(event)](event)
        return self.actions

    # ---- Estimate -----------------------------------------------------------------------------------------
    def _heard(self, node: _Node | None, load: fl.Load | None) -> None:
        if node is None or load is None:
            return
        use = load.link if load.link is not None else load.link_up_to_one
        for pipe, value in ((node.link, use), (node.rack, load.uplink)):
            if value is not None and 0 <= value < math.inf:
                self._tell(pipe, value, self.now - REPORT_AGE_MS)
        self._raise(node.rack)

    def _tell(self, pipe: _Pipe, use: float, moment: float) -> None:
        self.rack_uses.clear()
        pipe.tell(use, moment)
        if pipe.nodes[0].link is pipe:
            self.news = min(self.news + 1, USUAL_OF)
            self.usual_use += (min(use, 1 / LEAST_SHARE) - self.usual_use) / self.news

    def _note(self, note: fl.Note) -> None:
        session = self.sessions.get(note.session)
        node = self.nodes.get(note.node)
        if not 0 <= note.value < math.inf:
            return
        if note.kind is fl.NoteKind.RUNG and session is not None and session.node is not None:
            self._count(session, min(int(note.value), len(self.settings.ladder_kb) - 1))
        if node is None or session is None:
            return
        moment = self.now - self.settings.note_late_ms
        if note.kind is fl.NoteKind.DELIVERED:
            self._delivered(node, note.value, moment)
        elif note.kind is fl.NoteKind.LINK:
            self._tell(node.link, note.value, moment)
        elif note.kind is fl.NoteKind.UPLINK:
            self._tell(node.rack, note.value, moment)
        if note.kind is not fl.NoteKind.DELIVERED:
            self._recover(node.rack)
            for pipe in (node.link, node.rack):
                if (use := pipe.heard_use()) is not None and moment > pipe.shed_at:
                    self._shed(pipe, use)
            self._raise(node.rack)

    def _delivered(self, node: _Node, share: float, moment: float) -> None:
        """A short delivery marks the pipe that explains it as full; the note after it clears both.

        The uplink explains it where another node of the rack falls short too and the link is not known to be
        full; then the better share of the two tells what the uplink really gives. A node that alone falls
        short has lost its link, whatever its last report said: one bad link must not close its whole rack.
        """
        link, rack = node.link, node.rack
        node.share, node.share_at = share, self.now
        if share >= SHORT:
            link.short_until = rack.short_until = self.now
            return
        peers = [n for n in rack.nodes if n is not node and n.sessions]
        late = [n.share for n in peers if n.share < SHORT and self.now - n.share_at < AGREE_MS]
        also = [other for other in late if abs(other - share) < AGREE]
        known = link.heard_use()
        pipe = link
        if rack.kb < math.inf and (also or not peers) and (known is None or known * share < LINK_EXPLAINS):
            pipe, share = rack, max([share, *also])
        pipe.short_until = self.now + SHORT_LASTS_MS
        self.rack_uses.clear()
        share = max(share, LEAST_SHARE)  # 0 where links are cut off: it would leave the uplink no size
        use = 1 / share
        if pipe is link or rack.use is not None:
            pipe.tell(use, moment)
        elif moment > rack.shed_at + SETTLE_MS:
            rack.kb = max(min(rack.kb, share * max(self._rack_kb(rack), rack.own_kb)), LEAST_KB)
            rack.learned_at = self.now
        if moment > pipe.shed_at + SETTLE_MS:
            self._shed(pipe, use)

    def _recover(self, rack: _Pipe) -> None:
        """An uplink once found weak is believed in again by and by, or at once where it carries more."""
        if rack.short_until > self.now or rack.kb == math.inf:
            return
        self.rack_uses.clear()
        part = min((self.now - rack.learned_at) / (RECOVER * self.raise_after), 1.0)
        rack.learned_at = self.now
        rack.kb = max(rack.kb + part * (rack.told_kb - rack.kb), min(self._rack_kb(rack), rack.told_kb))

    def _link_use(self, node: _Node) -> float:
        """Estimated share of the node's link that is asked; an unheard node counts as average, and some more.

        The fewer own sessions a node, the less the average says, and too high a start costs most.
        """
        if (use := node.link.heard_use()) is not None:
            return use
        more = 1 + UNSURE * max(1 - len(self.sessions) / max(len(self.nodes), 1), 0)
        return max(more * self.usual_use, node.link.own_kb * self.settings.directors / node.link.kb)

    def _rack_use(self, rack: _Pipe) -> float:
        """Estimated share of the uplink that is asked: heard, or summed over the rack's links."""
        use = rack.heard_use()
        if use is not None:
            return use
        if (known := self.rack_uses.get(id(rack))) is None:
            known = self.rack_uses[id(rack)] = self._rack_kb(rack) / rack.kb
        return known

    def _rack_kb(self, rack: _Pipe) -> float:
        """What is asked of all links of the rack, kB a second.

        A link that gives less than told seems to be asked for more; own sessions times directors bound that.
        """
        total = 0.0
        for node in rack.nodes:
            link = node.link
            blind = UNHEARD * (min(link.kb, rack.told_kb / len(rack.nodes)) if link.use is None else link.kb)
            most = max(link.own_kb * self.settings.directors * LEAN, blind)
            total += max(min(self._link_use(node) * link.kb, most), link.own_kb)
        return total

    def _uses(self, node: _Node) -> list[tuple[float, float]]:
        """Estimated use and size of node's link and uplink; full while short."""
        link, rack = node.link, node.rack
        if max(link.short_until, rack.short_until) > self.now:
            return [(math.inf, 1.0)]
        uplink = [(self._rack_use(rack), rack.kb)] if rack.kb < math.inf else []
        return [(self._link_use(node), link.kb), *uplink]

    # ---- Choice -------------------------------------------------------------------------------------------
    def _work(self, node: _Node) -> float:
        """Weighted work left at the node: set-ups in flight and playing rates, over its link."""
        set_up_kb = self.playing_kb / self.playing if self.playing else self.settings.ladder_kb[0]
        return (node.setting_up * set_up_kb + node.playing_kb) / node.link.kb

    def _holders(self, session: _Session) -> list[_Node]:
        """The title's holders that may be sent a set-up now, least work first.

        Where every holder is suspended, those not tried just now are better than none.
        """
        ask, cells = session.ask, self.settings.cells
        found = [
            node
            for k in range(min(ask.holders, cells))
            for node in self.cells.get((ask.first_cell + k) % cells, ())
            if node.info.status is fl.Status.READY
            and node.info.node not in session.tried
            and (node.suspensions == 0 or node.setting_up == 0)
        ]
        usable = [node for node in found if self.now >= node.suspended_until] or found
        tie = _mix(self.settings.director, ask.session)
        once = self._class(ask).repeat is not fl.Repeat.FREE
        # a set-up that cannot be repeated is no trial for a node that has just failed
        far = self.settings.price_crossing > 0

        dear = self.settings.price_connection > 0

        def order(node: _Node) -> tuple[bool, bool, float, bool, int]:
            crosses = far and node.info.zone != self.settings.zone
            new = dear and not node.sessions  # a connection to it would have to be opened
            return once and node.suspensions > 0, new, self._work(node), crosses, _mix(tie, node.info.node)

        if not self.shares:
            return sorted(usable, key=order)
        picked = self._planned_zone(ask.session)
        return sorted(usable, key=lambda node: (self._plan_rank(node.info.zone, picked), *order(node)))

    # ---- Zones --------------------------------------------------------------------------------------------
    def _planned(self, event: fl.ZoneShares) -> None:
        sane = all(0 <= share < math.inf for share in event.shares) and sum(event.shares) > 0
        self.shares = event.shares if sane else ()

    def _planned_zone(self, session: int) -> int:
        """The zone that this session's part of the plan falls to, the same each time it is placed."""
        part = _mix(self.settings.director, session, 1) / 2**64 * sum(self.shares)
        for zone, share in enumerate(self.shares):
            part -= share
            if part < 0:
                return zone
        return max(range(len(self.shares)), key=self.shares.__getitem__)

    def _plan_rank(self, zone: int, picked: int) -> int:
        """Where the plan sends nobody comes last: rather there than refused."""
        share = self.shares[zone] if zone < len(self.shares) else 0.0
        return 0 if zone == picked else 1 if share > 0 else 2

    # ---- Rung ---------------------------------------------------------------------------------------------
    def _class(self, ask: fl.Ask) -> fl.SessionClass:
        return self.settings.classes[ask.klass]

    def _kb(self, ask: fl.Ask, rung: int) -> float:
        return self.rates[ask.klass][rung]

    def _rung(self, node: _Node, ask: fl.Ask) -> int | None:
        """The highest rung that keeps the estimated use under the mark.

        Steps of the ladder that earn less for their rate keep to a lower mark: they leave room for what
        follows and earns more. Without that the first sessions take it all.
        """
        klass, uses = self._class(ask), self._uses(node)
        marks, rates = self.marks[ask.klass], self.rates[ask.klass]
        for rung in range(min(ask.best_rung, klass.top), klass.floor - 1, -1):
            for use, size in uses:
                if rates[rung] > (marks[rung] - use) * size:
                    break
            else:
                return rung
        return None

    def _mark(self, klass: fl.SessionClass, rung: int) -> float:
        return MARK - MARK_FALLS * math.log2(self.best_yield / max(self._yield(klass, rung), 1e-9))

    def _yield(self, klass: fl.SessionClass, rung: int) -> float:
        """Worth of the last step to this rung for each kB a second; of the better of the two lowest steps."""
        kb, worth = self.settings.ladder_kb, self.settings.ladder_worth
        first = worth[0] / kb[0]
        steps = [first] + [(worth[k] - worth[k - 1]) / (kb[k] - kb[k - 1]) for k in range(1, len(kb))]
        return klass.worth * (max(steps[:2]) if rung <= klass.floor else steps[rung]) / klass.rate_scale

    # ---- Request life -------------------------------------------------------------------------------------
    def _take(self, ask: fl.Ask) -> None:
        session = _Session(ask, self.now, self.now + ask.ttl_ms)
        cells = self.settings.cells
        held_by = ((ask.first_cell + k) % cells for k in range(min(ask.holders, cells)))
        for cell in (ALL_CELLS, *held_by):
            self.cell_asks[cell] = (self._recent_asks(cell) + 1, self.now)
        if self.settings.extra_span_ms > 0:
            self.asks.append(self.now)
            self._trim_budget()
        self.sessions[ask.session] = session
        if not self._place(session):
            self._hold(session)

    def _place(self, session: _Session) -> bool:
        klass = self._class(session.ask)
        if session.ask.best_rung < klass.floor or not self._seat_free(session.ask):
            return False
        if session.attempts and not self._may_try_again(session):
            return False  # also after a hold: others may have spent the budget of attempts meanwhile
        holders = self._holders(session)
        rivals: list[tuple[float, bool]] = []
        for node in holders:
            rung = self._rung(node, session.ask)
            if rung is None:
                continue
            if self._is_cold(node):
                rivals = rivals or self._rivals(holders, session.ask)
                if not self._cold_turn(node, session.ask, rivals):
                    continue
            self._send(session, node, rung)
            return True
        return False

    def _send(self, session: _Session, node: _Node, rung: int) -> None:
        self.held.pop(session.ask.session, None)
        session.sent_at = self.now
        if session.attempts and self.settings.extra_span_ms > 0:
            self.extras.append(self.now)
        left = session.deadline - self.now
        klass = self._class(session.ask)
        if klass.repeat is fl.Repeat.FREE:
            left = min(left, max(TRY_PART * klass.wanted_ms, 1.0))
        session.attempts += 1
        session.tried.append(node.info.node)
        session.state, session.node = _State.SETTING_UP, node
        node.sessions[session.ask.session] = session
        node.setting_up += 1
        node.sent_at = self.now
        self._take_seat(session.ask, 1)
        self._count(session, rung)
        self.actions.append(fl.SetRung(session.ask.session, rung))
        self.actions.append(fl.SetUp(session.ask.session, node.info.node, left))

    def _count(self, session: _Session, rung: int) -> None:
        """Book the session's rate at its node and rack."""
        self._book(session, self._kb(session.ask, rung))
        session.rung = rung
        self._sort_in(session)

    def _sort_in(self, session: _Session) -> None:
        """Keep apart what may rise: a few among hundreds, looked through at every report."""
        if session.node is not None:
            top = min(session.ask.best_rung, self._class(session.ask).top)
            if session.state is _State.PLAYING and session.rung < top:
                session.node.low[session.ask.session] = session
            else:
                session.node.low.pop(session.ask.session, None)

    def _book(self, session: _Session, kb: float) -> None:
        self.rack_uses.clear()
        if session.node is not None:
            session.node.link.book(self.now, kb - session.kb)
            session.node.rack.book(self.now, kb - session.kb)
            if session.state is _State.PLAYING:
                session.node.playing_kb += kb - session.kb
                self.playing_kb += kb - session.kb
        session.kb = kb

    def _plays(self, session: _Session, node: _Node, more: int) -> None:
        """Count the session as playing at the node, or no longer."""
        self.playing += more
        self.playing_kb = self.playing_kb + more * session.kb if self.playing else 0.0
        node.playing_kb += more * session.kb
        self._sort_in(session)

    def _hold(self, session: _Session) -> None:
        """Keep the request for a brief while, or give it up at once where no hold can help."""
        if self._hold_ends(session) <= self.now:
            self._give_up(session)
        else:
            session.state = _State.HELD
            self.held[session.ask.session] = session
            if not self.beating:
                self.beating = True
                self.actions.append(fl.SetTimer(BEAT_MS, 0))

    def _hold_ends(self, session: _Session) -> float:
        hold_ms = HOLD_PART * self._class(session.ask).wanted_ms
        return min(session.asked_at + hold_ms, session.deadline - 2 * BEAT_MS)

    def _give_up(self, session: _Session) -> None:
        """The final answer, at once: refused where nothing can have run, failed otherwise."""
        name = session.ask.session
        self.rack_uses.clear()
        self.held.pop(name, None)
        self.sessions.pop(name, None)
        if session.may_have_run and self._class(session.ask).repeat is not fl.Repeat.FREE:
            self.actions.append(fl.Fail(name))
        else:
            come_back = self.settings.come_back_max_ms if self.settings.come_back else 0.0
            self.actions.append(fl.Refuse(name, come_back))

    def _beat(self, _: fl.Wake) -> None:
        self.beating = False
        for session in list(self.held.values()):
            if not self._place(session):
                self._hold(session)

    def _started(self, event: fl.Started) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.node is None or session.state is not _State.SETTING_UP:
            return
        session.state, session.answered = _State.PLAYING, True
        session.node.setting_up -= 1
        self._plays(session, session.node, 1)
        self._well(session.node)

    def _ended(self, event: fl.Ended) -> None:
        node = self.nodes.get(event.node)
        self._heard(node, event.load)
        session = self.sessions.get(event.session)
        if session is None or session.node is None or session.attempts - 1 != event.attempt:
            return
        was_playing = session.state is _State.PLAYING
        same_process = session.node is node
        self._leave(session)
        if node is not None and same_process:
            self._judge(node, event.outcome, was_playing)
        if event.outcome is fl.Outcome.FULL and node is not None:
            self.rack_uses.clear()
            if self.settings.node_full_from > 0:
                node.link.tell(max(1.0, self.settings.node_full_from, node.link.use or 0.0), self.now)
            else:
                # nodes that take set-ups however full their link is refuse for want of places: no news of the
                # link, which a director without sessions there would believe for good, but a while's rest
                node.link.short_until = self.now + SHORT_LASTS_MS
        if event.outcome is fl.Outcome.NEVER_SENT and session.attempts > 1 and session.sent_at in self.extras:
            self.extras.remove(session.sent_at)
        session.may_have_run |= not event.outcome.proves_unrun
        if event.final or session.answered:
            self.sessions.pop(event.session, None)
        elif not self._may_try_again(session):
            self._give_up(session)
        elif not self._place(session):
            self._hold(session)

    def _may_try_again(self, session: _Session) -> bool:
        """Whether one more attempt is safe, worth it and allowed; a stated window is not relied on."""
        if session.may_have_run and self._class(session.ask).repeat is not fl.Repeat.FREE:
            return False
        return (
            session.attempts < self.settings.max_attempts
            and session.deadline - self.now > self.settings.tick_ms
            and self._budget_allows()
        )

    def _leave(self, session: _Session) -> None:
        """Take the session off its node's counters."""
        node = session.node
        if node is None:
            return
        self._take_seat(session.ask, -1)
        if session.state is _State.SETTING_UP:
            node.setting_up -= 1
        elif session.state is _State.PLAYING:
            self._plays(session, node, -1)
            session.state = _State.HELD
        self._book(session, 0.0)
        node.sessions.pop(session.ask.session, None)
        node.low.pop(session.ask.session, None)
        session.node, session.state = None, _State.HELD

    def _withdrawn(self, event: fl.Withdrawn) -> None:
        session = self.sessions.get(event.session)
        if session is None:
            return
        self.held.pop(event.session, None)
        session.answered = True
        if session.node is None:
            self.sessions.pop(event.session, None)

    def _resumed(self, event: fl.Resumed) -> None:
        node = self.nodes.get(event.node)
        if node is None:
            return
        session = _Session(event.ask, self.now, self.now, _State.PLAYING, True, attempts=1, node=node)
        self.sessions[event.ask.session] = session
        node.sessions[event.ask.session] = session
        self._take_seat(event.ask, 1)
        self._plays(session, node, 1)
        self._count(session, self._class(event.ask).floor)

    # ---- Rung care while playing --------------------------------------------------------------------------
    def _step_down(self, session: _Session) -> tuple[float, float]:
        """What one rung less saves, kB a second, and what it loses in worth for each of them."""
        ask, s = session.ask, self.settings
        saved = session.kb - self._kb(ask, session.rung - 1)
        lost = s.ladder_worth[session.rung] - s.ladder_worth[session.rung - 1] + self._change_cost(session)
        return saved, self._class(ask).worth * lost / saved

    def _step_up(self, session: _Session) -> tuple[float, float]:
        """What one rung more asks, kB a second, and what it gains in worth for each of them."""
        ask, s = session.ask, self.settings
        added = self._kb(ask, session.rung + 1) - session.kb
        gained = s.ladder_worth[session.rung + 1] - s.ladder_worth[session.rung]
        return added, self._class(ask).worth * (gained - RAISE_REPAYS * self._change_cost(session)) / added

    def _change_cost(self, session: _Session) -> float:
        """A change of rung as a part of what the rest of the session can earn; free before it plays."""
        if session.state is not _State.PLAYING:
            return 0.0
        left = LEFT_S
        if session.ask.length_ms is not None:
            left = max((session.ask.length_ms + session.asked_at - self.now) / 1000.0, LEFT_LEAST_S)
        return self.settings.rung_change_s / left

    def _sessions_on(self, pipe: _Pipe) -> list[_Session]:
        return [session for node in pipe.nodes for session in node.sessions.values()]

    def _cheapest_down(self, sessions: list[_Session]) -> _Session | None:
        low = [s for s in sessions if s.rung > self._class(s.ask).floor]
        return min(low, key=lambda s: (self._step_down(s)[1], s.ask.session), default=None)

    def _set_rung(self, session: _Session, rung: int) -> None:
        self._count(session, rung)
        self.actions.append(fl.SetRung(session.ask.session, rung))

    def _shed(self, pipe: _Pipe, use: float) -> None:
        """Lowers own sessions on a pipe asked for more than it gives, by this director's part of the excess.

        Every director there hears the same news, so each cuts its own part, once for news of each moment.
        Parts are rounded to whole steps at random, so that the sum over many directors comes out right.
        """
        if use <= FULL:
            return
        pipe.shed_at = pipe.strained_at = self.now
        sessions = self._sessions_on(pipe)
        cut = pipe.own_kb * (1 - SHED_TO / use)
        while (session := self._cheapest_down(sessions)) is not None:
            saved = self._step_down(session)[0]
            if cut < saved * self.random.random():
                break
            cut -= saved
            self._set_rung(session, session.rung - 1)

    def _raise(self, rack: _Pipe) -> None:
        """Raises sessions where room has lasted and the gain repays the change, a little at a time.

        Others see the same room, so each takes what its sessions are of all that is asked there, rounded to
        whole steps at random: with a part for each director, many directors would raise nothing.
        """
        if self.now < rack.strained_at + self.raise_after:
            return
        taken, luck = 0.0, self.random.random()
        nodes = [n for n in rack.nodes if n.low and self._may_raise(n)]
        ups = [(self._step_up(s), s) for node in nodes for s in node.low.values()]
        if not ups:
            return
        uplink = [(self._rack_use(rack), rack)] if rack.kb < math.inf else []
        for (added, gain), session in sorted(ups, key=lambda up: (-up[0][1], up[1].ask.session)):
            node = session.node
            if node is None or gain <= 0 or node.link.moment <= node.link.raised_at:
                continue
            mark = self.marks[session.ask.klass][session.rung + 1] - RAISE_GAP
            pipes = [(self._link_use(node), node.link), *uplink]
            parts = [(mark / max(use, 1e-9) - 1) * pipe.own_kb for use, pipe in pipes]
            fits = all(use + added / pipe.kb <= mark for use, pipe in pipes)
            if fits and added * luck <= parts[0] and taken + added * luck <= RAISE_PART * parts[-1]:
                taken += added
                node.link.raised_at = self.now
                self._set_rung(session, session.rung + 1)

    def _may_raise(self, node: _Node) -> bool:
        """Whether its link has been well for long enough, and was heard of since its last raise."""
        link = node.link
        return self.now - link.strained_at >= self.raise_after and link.moment > link.raised_at

    # ---- Guards -------------------------------------------------------------------------------------------
    def _list(self, event: fl.NodeList) -> None:
        if event.kind is fl.ListKind.FAILED:
            if self.settings.list_by_ask:
                self.ask_list_at = self.now + ASK_LIST_MS
                self.actions.append(fl.SetTimer(ASK_LIST_MS, 1))
            return
        named = {info.node for info in event.nodes}
        for info in event.nodes:
            self._listed(info, event.kind)
        if event.kind is not fl.ListKind.DELTA:
            for name in [name for name in self.nodes if name not in named]:
                self._forget(name)

    def _pipe(self, kb: float) -> _Pipe:
        kb = kb if kb >= LEAST_KB else LEAST_KB
        return _Pipe(kb, kb, strained_at=self.now - (1 - RAISE_FIRST) * self.raise_after)

    def _forget(self, name: int) -> None:
        node = self.nodes.pop(name, None)
        if node is not None:
            node.rack.nodes.remove(node)
            self.cells[node.info.cell].remove(node)

    def _listed(self, info: fl.NodeInfo, kind: fl.ListKind) -> None:
        node = self.nodes.get(info.node)
        if info.status is fl.Status.GONE or (node is not None and node.info.cell != info.cell):
            self._forget(info.node)
            node = None
        if info.status is fl.Status.GONE:
            return
        if node is None:
            link = self._pipe(info.weight * self.settings.link_kb_per_weight)
            number = info.cell % max(self.settings.racks, 1)
            uplink_kb = self.settings.uplink_kb
            rack = self.racks.setdefault(number, self._pipe(uplink_kb if uplink_kb > 0 else math.inf))
            node = self.nodes[info.node] = _Node(info, link, rack)
            link.nodes.append(node)
            rack.nodes.append(node)
            self.cells.setdefault(info.cell, []).append(node)
            if kind is fl.ListKind.CACHED:
                node.cold_since = self.now  # a cached list may be stale: the node may have restarted since
        elif info.started_ms != node.info.started_ms:
            node.link.use = None
            node.strikes, node.suspensions, node.suspended_until = 0, 0, 0.0
        node.info = info
        if info.started_ms > 0:
            node.cold_since = max(node.cold_since, info.started_ms)

    def _is_cold(self, node: _Node) -> bool:
        return self.now - node.cold_since < self.settings.warm_up_ms

    def _rivals(self, holders: list[_Node], ask: fl.Ask) -> list[tuple[float, bool]]:
        """Own work at each holder with room, and whether the holder is cold."""
        return [(self._work(n), self._is_cold(n)) for n in holders if self._rung(n, ask) is not None]

    def _recent_asks(self, cell: int) -> float:
        """Requests that the cell could serve, of about the last warm-up time."""
        count, moment = self.cell_asks.get(cell, (0.0, 0.0))
        return count * math.exp((moment - self.now) / max(self.settings.warm_up_ms, 1.0))

    def _ask_rate(self, cell: int) -> float:
        """The same a ms, over what this director has run of it: a fresh one must not think it quiet."""
        span = max(self.settings.warm_up_ms, 1.0)
        seen = span * (1 - math.exp((self.started_at - self.now) / span))
        return self._recent_asks(cell) / max(seen, 1.0)

    def _fleet_asks(self, node: _Node, ask: fl.Ask, gap: float) -> float:
        """Requests that all directors together have for the node's cell within one turn, by this one's own.

        For a node known to be cold, by the list or as it failed, those for the cell itself count, as a title
        may draw a crowd, and while some are held, those that have gathered. A node that only may be cold, as
        all are in a cached list, is taken to draw as much as any: else a fresh fleet would refuse most.
        """
        s = self.settings
        mean = self._ask_rate(ALL_CELLS) * min(ask.holders / s.cells, 1.0)
        if node.info.started_ms <= self.now - s.warm_up_ms and node.cold_since <= self.started_at:
            return s.directors * mean * gap
        gathered = HOLD_PART * self._class(ask).wanted_ms if self.held else 0.0
        rate = min(self._ask_rate(node.info.cell), CROWD_MAX * mean)
        return s.directors * rate * (gap + gathered)

    def _cold_turn(self, node: _Node, ask: fl.Ask, rivals: list[tuple[float, bool]]) -> bool:
        """Keeps this director's set-ups to a cold node within its own part of the node's budget.

        Directors take turns counted from the node's start, so that none needs to hear of another. As many
        share a turn as together have few requests that would go there: a turn for each of hundreds would come
        after the warm-up. Of the rivals with as little work and room, a warm one draws an equal part and a
        cold one only what its own turn takes. Nodes of a cached list count as cold, which keeps a restarted
        director from flooding the first it sees, and so do nodes that fail: all that saw it wait for them.
        Own sends keep a whole round of turns apart: few directors stay within the budget whoever has the
        turn. Costs room where a node was warm after all.
        """
        s = self.settings
        slots = s.kind_slots[node.info.kind] if node.info.kind < len(s.kind_slots) else min(s.kind_slots)
        gap = s.warm_up_ms / (slots * s.cold_from * s.cold_multiple * COLD_PART)
        if node.sent_at >= node.cold_since and self.now - node.sent_at < gap * s.directors:
            return False
        asks = self._fleet_asks(node, ask, gap)
        work = self._work(node)
        equal = [cold for other, cold in rivals if other <= work]  # with the node itself
        also_cold = sum(equal) - 1
        turns = math.ceil((asks / COLD_FILL - also_cold) / (len(equal) - also_cold))
        turns = min(max(turns, 1), s.directors)
        return (int((self.now - node.cold_since) // gap) + node.info.node) % turns == s.director % turns

    def _judge(self, node: _Node, outcome: fl.Outcome, was_playing: bool) -> None:
        """Suspends a node that breaks, cannot be reached or does not start what it was sent.

        One guard for every way to be sick: dead, cut off, hung, slow. One error may be the session's own.
        Hurts where many set-ups are slow at once; where all holders are suspended they are used all the same.
        """
        if outcome is fl.Outcome.ERROR and not was_playing:
            node.strikes += 1
        elif outcome in (fl.Outcome.RESET, fl.Outcome.CONNECT_FAILED, fl.Outcome.TIMEOUT):
            node.strikes += STRIKES
        else:
            return
        if node.strikes >= STRIKES and self.now >= node.suspended_until:
            node.suspended_until = self.now + min(SUSPEND_MS * 2**node.suspensions, SUSPEND_MAX_MS)
            node.suspensions += 1
            node.cold_since = max(node.cold_since, self.now)  # it may return cold, and others wait for it too

    def _well(self, node: _Node) -> None:
        """A set-up has started: the node is trusted again, at a cold node's pace if it was suspended."""
        if node.suspensions:
            node.cold_since = max(node.cold_since, node.sent_at)  # it may have restarted since it failed
        node.strikes = node.suspensions = 0

    def _seat_free(self, ask: fl.Ask) -> bool:
        seats = self._class(ask).seats
        return seats <= 0 or self.seats.get((ask.title, ask.klass), 0) < seats

    def _take_seat(self, ask: fl.Ask, more: int) -> None:
        seat = (ask.title, ask.klass)
        self.seats[seat] = self.seats.get(seat, 0) + more
        if not self.seats[seat]:
            del self.seats[seat]

    def _trim_budget(self) -> None:
        for log in (self.asks, self.extras):
            while log and log[0] <= self.now - self.settings.extra_span_ms:
                log.popleft()

    def _budget_allows(self) -> bool:
        """Whether one attempt more keeps the stated budget of attempts beyond each session's first."""
        s = self.settings
        self._trim_budget()
        return s.extra_span_ms <= 0 or len(self.extras) + 1 <= s.extra_free + s.extra_ratio * len(self.asks)
