"""All decisions of a director. Settings, events and actions are defined in foxlift/interface.py.

The method is transaction-least-work-left (docs/design.md): a new session goes to the holder of its title with
the least weighted work by this director's own counters, at the highest rung that keeps the estimated use of
the link below a target.
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
# Use: what is asked of a link or an uplink over what it gives; 1.0 is full. Shares and fractions are of 1.
TARGET_USE = 0.95  # limit for new sessions; the rest is for rates above the ladder and other directors
RECHECK_INTERVAL_MS = 50.0  # interval at which held requests are tried again
TARGET_USE_STEP = 0.08  # decrease of the target for each halving of the worth that a kB/s earns
HOLD_FRACTION = 0.4  # of the wanted time: longest hold of a request, which leaves time for its set-up
ATTEMPT_FRACTION = 0.6  # of the wanted time: time-out of a repeatable set-up before the next holder is tried
COLD_TURN_REQUESTS = 0.7  # requests expected in one turn at a cold node, of all directors that share the turn
ALL_CELLS = -1  # key for all cells together where requests are counted by cell
MAX_CELL_RATE_RATIO = 3.0  # to the mean over cells; demand for a cell above it finds other holders
COLD_BUDGET_FRACTION = 0.7  # used part of a cold node's budget; the rest is for unequal costs of set-ups
FIRST_SUSPENSION_MS = 1000.0  # of a node that failed; doubles with each further suspension
MAX_SUSPENSION_MS = 8000.0  # a node is back in use a few seconds after it returns
RETRY_LIST_MS = 1000.0  # wait before a list service that failed is asked again, which keeps its load low
MAX_FAILURES = 2  # failures in a row that suspend a node; one failure may be the session's own fault
LOWER_ABOVE_USE = 1.03  # use above which own sessions are lowered
LOWER_TO_USE = 0.97  # use down to which they are lowered
RAISE_MARGIN = 0.05  # playing sessions are raised only this far below the target use, against flapping
MAX_RAISE_DELAY_MS = 8000.0  # room must have lasted so long: longer than a report takes to show a change
RAISE_DELAY_ROUNDS = 3.0  # rounds of reports that room must have lasted, if they take less than that time
FIRST_RAISE_FRACTION = 0.5  # of the raise delay: wait at a new link or uplink, until reports of it arrive
RAISE_FRACTION = 0.5  # of a rack's room: used for raises by all directors together in one round
RAISE_GAIN_FACTOR = 4.0  # least ratio of the gain of a raise to the cost of the rung change
EXPECTED_REST_S = 20.0  # expected rest of a session without a length hint
MIN_EXPECTED_REST_S = 4.0  # least expected rest of a session, also when its length hint has passed
SHORT_SHARE = 0.98  # a delivered share below it is short: sessions lose worth, and nodes report it
MIN_SHARE = 0.2  # smaller delivered shares count as this one, so that one lowering overshoots little
MIN_CAPACITY_KB = 1.0  # kB/s; least capacity of a link or uplink, because uses are divided by it
SHARE_SMOOTHING_MS = 1000.0  # nodes smooth delivered shares over about this time and show changes late
RECOVERY_DELAYS = 2.0  # raise delays in which an uplink found weak returns to its nominal capacity
MAX_IMBALANCE = 1.5  # factor by which a node's sessions of another director may exceed an even part
SHORT_DURATION_MS = 2500.0  # notes of short delivery come once a second; without one in this time it is over
SHARE_TOLERANCE = 0.15  # shares closer than that may have one cause: an uplink gives all nodes the same
COMMON_CAUSE_MS = 1500.0  # two nodes of a rack with short deliveries within this time have a common cause
LINK_CAUSE_USE = 0.9  # the link is the cause of a short delivery if its use times the share is about 1
UNREPORTED_USE = 0.6  # link use assumed before any report: a director just started uses middle rungs
MAX_USE_SAMPLES = 20  # reports over which the mean link use is taken: a few seconds
UNREPORTED_MARGIN = 0.2  # highest margin on the mean use for an unreported link; falls with own sessions
UNREPORTED_TRIAL_DELAYS = 10.0  # raise delays until reports of other links no longer close an unreported one
REPORT_AGE_MS = 400.0  # typical age of a report in an answer: nodes refresh it at intervals and send it late
MAX_LOGGED_CHANGES = 200  # own changes kept between two reports on a link or uplink


class _State(Enum):
    HELD = 0
    SETTING_UP = 1
    PLAYING = 2


@dataclass(slots=True)
class _Session:
    ask: fl.Ask
    requested_at: float
    deadline: float
    state: _State = _State.HELD
    answered: bool = False
    may_have_run: bool = False
    attempts: int = 0
    sent_at: float = 0.0
    node: _Node | None = None
    rung: int = 0
    rate_kb: float = 0.0
    tried: list[int] = field(default_factory=list)


@dataclass(slots=True)
class _Pipe:
    """A node's link or a rack's uplink: its capacity, its reported use and this director's own part."""

    nominal_kb: float
    capacity_kb: float  # what it gives: the nominal capacity, or less after short deliveries
    own_kb: float = 0.0  # rates of this director's own sessions, set-ups included
    reported_use: float | None = None  # by the last report
    use_at: float = -1e18  # the time for which that holds
    changes: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_LOGGED_CHANGES))
    short_until: float = -1e18
    lowered_at: float = -1e18  # when own sessions on it were last lowered
    overloaded_at: float = -1e18  # when it was last found too full
    raised_at: float = -1e18
    capacity_at: float = 0.0  # when `capacity_kb` was last set
    changed_kb: float = 0.0  # sum of the own changes since the last report
    nodes: list[_Node] = field(default_factory=list)  # that it serves
    nodes_in_use: set[int] = field(default_factory=set)  # identities of those that have own sessions

    def record_change(self, now: float, kb: float) -> None:
        self.own_kb += kb
        self.changed_kb += kb
        self.changes.append((now, kb))

    def record_use(self, use: float, as_of: float) -> None:
        """Take in a report, unless there is a later one."""
        if as_of >= self.use_at:
            self.reported_use, self.use_at = use, as_of
            while self.changes and self.changes[0][0] <= as_of:
                self.changes.popleft()
            self.changed_kb = sum(kb for _, kb in self.changes)

    def estimated_use(self) -> float | None:
        """Use by the last report, corrected by this director's starts, ends and rung changes since then."""
        if self.reported_use is None:
            return None
        return max(self.reported_use + self.changed_kb / self.capacity_kb, self.own_kb / self.capacity_kb)


@dataclass(slots=True)
class _Node:
    info: fl.NodeInfo
    link: _Pipe
    rack: _Pipe
    sessions: dict[int, _Session] = field(default_factory=dict)
    raisable: dict[int, _Session] = field(default_factory=dict)  # sessions that play below their best rung
    setting_up: int = 0
    playing_kb: float = 0.0
    cold_since: float = -1e18
    failures: int = 0
    suspensions: int = 0
    suspended_until: float = 0.0
    delivered_share: float = 1.0  # by the last note
    delivered_at: float = -1e18
    sent_at: float = -1e18  # when this director last sent it a set-up
    listed_at: float = -1e18  # when it was added to the list

    def add_session(self, session: _Session) -> None:
        self.sessions[session.ask.session] = session
        for pipe in (self.link, self.rack):
            pipe.nodes_in_use.add(id(self))

    def remove_session(self, number: int) -> None:
        self.sessions.pop(number, None)
        self.raisable.pop(number, None)
        if not self.sessions:
            for pipe in (self.link, self.rack):
                pipe.nodes_in_use.discard(id(self))


def _hash(*numbers: int) -> int:
    """A stable 64-bit hash of whole numbers (steps of splitmix64)."""
    h = 0
    for number in numbers:
        h = (h ^ number) + 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        h = (h ^ h >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        h = (h ^ h >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        h ^= h >> 31
    return h


class Director:
    """Decides for the sessions of one director, from that director's events alone."""

    def __init__(self, settings: fl.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.best_worth_per_kb = max(
            1e-9, *(self._worth_per_kb(klass, klass.floor) for klass in settings.classes)
        )
        rungs = range(len(settings.ladder_kb))
        self.rates_kb = [[kb * klass.rate_scale for kb in settings.ladder_kb] for klass in settings.classes]
        self.target_uses = [[self._target_use(klass, rung) for rung in rungs] for klass in settings.classes]
        rounds_ms = RAISE_DELAY_ROUNDS * settings.report_every_ms or MAX_RAISE_DELAY_MS
        self.raise_delay_ms = min(rounds_ms, MAX_RAISE_DELAY_MS)  # room must have lasted so long
        self.rack_use_cache: dict[int, float] = {}  # by rack, until something changes
        self.nodes: dict[int, _Node] = {}
        self.cells: dict[int, list[_Node]] = {}
        self.racks: dict[int, _Pipe] = {}
        self.sessions: dict[int, _Session] = {}
        self.held: dict[int, _Session] = {}
        self.seats: dict[tuple[int, int], int] = {}
        self.request_times: deque[float] = deque()
        self.extra_attempt_times: deque[float] = deque()
        self.cell_requests: dict[int, tuple[float, float]] = {}  # by cell: decayed count, and its time
        self.started_at = math.inf  # time of the first event
        self.playing = 0  # own playing sessions
        self.playing_kb = 0.0
        self.mean_use = UNREPORTED_USE  # of a link: mean of the latest reports on all links
        self.mean_use_at = -math.inf  # when the latest of these arrived
        self.use_samples = 1
        self.recheck_scheduled = False  # whether a timer for the held requests runs
        self.retry_list_at = -math.inf if settings.list_by_ask else math.inf  # when to ask for the list again
        self.zone_shares: tuple[float, ...] = ()  # by zone, of the plan in force; empty if there is none
        self.now = 0.0
        self.actions: list[fl.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            fl.NodeList: self._list_received,
            fl.Ask: self._requested,
            fl.Started: self._started,
            fl.Ended: self._ended,
            fl.Note: self._note,
            fl.Resumed: self._resumed,
            fl.SeatHeld: lambda event: self._count_seats(event.title, event.klass, 1 if event.held else -1),
            fl.Withdrawn: self._withdrawn,
            fl.Wake: self._recheck_held,
            fl.Probed: lambda event: self._load_reported(self.nodes.get(event.node), event.load),
            fl.ZoneShares: self._set_zone_shares,
        }

    def handle(self, now: float, event: fl.Event) -> list[fl.Action]:
        """Handle one event. Returns the actions in the order in which they are to be carried out."""
        self.now, self.actions = now, []
        self.started_at = min(self.started_at, now)
        self.rack_use_cache.clear()
        if now >= self.retry_list_at:
            self.retry_list_at = math.inf
            self.actions.append(fl.WatchList(True))
        self.handlers[type(event)](event)
        return self.actions

    # ---- Estimate -----------------------------------------------------------------------------------------
    def _load_reported(self, node: _Node | None, load: fl.Load | None) -> None:
        if node is None or load is None:
            return
        use = load.link if load.link is not None else load.link_up_to_one
        for pipe, value in ((node.link, use), (node.rack, load.uplink)):
            if value is not None and 0 <= value < math.inf:
                self._record_use(pipe, value, self.now - REPORT_AGE_MS)
        self._raise_sessions(node.rack)

    def _record_use(self, pipe: _Pipe, use: float, as_of: float) -> None:
        self.rack_use_cache.clear()
        pipe.record_use(use, as_of)
        if pipe.nodes[0].link is pipe:
            self.use_samples = min(self.use_samples + 1, MAX_USE_SAMPLES)
            self.mean_use += (min(use, 1 / MIN_SHARE) - self.mean_use) / self.use_samples
            self.mean_use_at = self.now

    def _note(self, note: fl.Note) -> None:
        session = self.sessions.get(note.session)
        node = self.nodes.get(note.node)
        if not 0 <= note.value < math.inf:
            return
        if note.kind is fl.NoteKind.RUNG and session is not None and session.node is not None:
            self._assign_rung(session, min(int(note.value), len(self.settings.ladder_kb) - 1))
        if node is None or session is None:
            return
        as_of = self.now - self.settings.note_late_ms
        if note.kind is fl.NoteKind.DELIVERED:
            self._delivered(node, note.value, as_of)
        elif note.kind is fl.NoteKind.LINK:
            self._record_use(node.link, note.value, as_of)
        elif note.kind is fl.NoteKind.UPLINK:
            self._record_use(node.rack, note.value, as_of)
        if note.kind is not fl.NoteKind.DELIVERED:
            self._restore_capacity(node.rack)
            for pipe in (node.link, node.rack):
                if (use := pipe.estimated_use()) is not None and as_of > pipe.lowered_at:
                    self._lower_sessions(pipe, use)
            self._raise_sessions(node.rack)

    def _delivered(self, node: _Node, share: float, as_of: float) -> None:
        """Mark the link or uplink that causes a short delivery as full; a note of full delivery clears both.

        The uplink is the cause if another node of the rack has short deliveries too, or no other node has own
        sessions, and the link is not known to be full. The best of the similar shares then shows what the
        uplink really gives. If only one node has short deliveries, its link is the cause whatever its last
        report said: one bad link must not close its whole rack.
        """
        link, rack = node.link, node.rack
        node.delivered_share, node.delivered_at = share, self.now
        if share >= SHORT_SHARE:
            link.short_until = rack.short_until = self.now
            return
        peers = [n for n in rack.nodes if n is not node and n.sessions]
        short_shares = [
            n.delivered_share
            for n in peers
            if n.delivered_share < SHORT_SHARE and self.now - n.delivered_at < COMMON_CAUSE_MS
        ]
        similar = [other for other in short_shares if abs(other - share) < SHARE_TOLERANCE]
        link_use = link.estimated_use()
        pipe = link
        if (
            rack.capacity_kb < math.inf
            and (similar or not peers)
            and (link_use is None or link_use * share < LINK_CAUSE_USE)
        ):
            pipe, share = rack, max([share, *similar])
        pipe.short_until = self.now + SHORT_DURATION_MS
        self.rack_use_cache.clear()
        share = max(share, MIN_SHARE)  # 0 where links are cut off: the uplink would have no capacity left
        use = 1 / share
        if pipe is link or rack.reported_use is not None:
            pipe.record_use(use, as_of)
        elif as_of > rack.lowered_at + SHARE_SMOOTHING_MS:
            rack.capacity_kb = max(
                min(rack.capacity_kb, share * max(self._rack_demand_kb(rack), rack.own_kb)), MIN_CAPACITY_KB
            )
            rack.capacity_at = self.now
        if as_of > pipe.lowered_at + SHARE_SMOOTHING_MS:
            self._lower_sessions(pipe, use)

    def _restore_capacity(self, rack: _Pipe) -> None:
        """Bring a weak uplink gradually back to its nominal capacity, or at once to what it carries."""
        if rack.short_until > self.now or rack.capacity_kb == math.inf:
            return
        self.rack_use_cache.clear()
        fraction = min((self.now - rack.capacity_at) / (RECOVERY_DELAYS * self.raise_delay_ms), 1.0)
        rack.capacity_at = self.now
        rack.capacity_kb = max(
            rack.capacity_kb + fraction * (rack.nominal_kb - rack.capacity_kb),
            min(self._rack_demand_kb(rack), rack.nominal_kb),
        )

    def _link_use(self, node: _Node) -> float:
        """Estimated use of the node's link; without a report, the mean over links plus a margin.

        The margin grows as there are fewer own sessions for each node: the mean then says less, and a first
        rung that is too high costs most.
        """
        if (use := node.link.estimated_use()) is not None:
            return use
        factor = 1 + UNREPORTED_MARGIN * max(1 - len(self.sessions) / max(len(self.nodes), 1), 0)
        return max(factor * self.mean_use, node.link.own_kb * self.settings.directors / node.link.capacity_kb)

    def _rack_use(self, rack: _Pipe) -> float:
        """Estimated use of the uplink: by reports, or from the sum over the rack's links."""
        use = rack.estimated_use()
        if use is not None:
            return use
        if (cached := self.rack_use_cache.get(id(rack))) is None:
            cached = self.rack_use_cache[id(rack)] = self._rack_demand_kb(rack) / rack.capacity_kb
        return cached

    def _rack_demand_kb(self, rack: _Pipe) -> float:
        """Estimated rates asked of all links of the rack, kB/s.

        A link that gives less than its nominal capacity seems to be asked for more than it is. The rates of
        own sessions times the number of directors limit that.
        """
        total = 0.0
        for node in rack.nodes:
            link = node.link
            assumed = UNREPORTED_USE * (
                min(link.capacity_kb, rack.nominal_kb / len(rack.nodes))
                if link.reported_use is None
                else link.capacity_kb
            )
            limit = max(link.own_kb * self.settings.directors * MAX_IMBALANCE, assumed)
            total += max(min(self._link_use(node) * link.capacity_kb, limit), link.own_kb)
        return total

    def _uses(self, node: _Node) -> list[tuple[float, float]]:
        """Estimated use and capacity of the link and the uplink; infinite use while deliveries are short."""
        link, rack = node.link, node.rack
        if max(link.short_until, rack.short_until) > self.now:
            return [(math.inf, 1.0)]
        uplink = [(self._rack_use(rack), rack.capacity_kb)] if rack.capacity_kb < math.inf else []
        return [(self._link_use(node), link.capacity_kb), *uplink]

    # ---- Choice -------------------------------------------------------------------------------------------
    def _work(self, node: _Node) -> float:
        """Weighted work left at the node: set-ups in flight and playing rates, over the link's capacity."""
        set_up_kb = self.playing_kb / self.playing if self.playing else self.settings.ladder_kb[0]
        return (node.setting_up * set_up_kb + node.playing_kb) / node.link.capacity_kb

    def _holders(self, session: _Session) -> list[_Node]:
        """The title's holders that may get a set-up now, least work first.

        If all holders are suspended, they are used all the same, except those tried already.
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
        tie = _hash(self.settings.director, ask.session)
        # a set-up that cannot be repeated must not be the trial of a node that has just failed
        once = self._class(ask).repeat is not fl.Repeat.FREE
        crossing_costs = self.settings.price_crossing > 0

        connection_costs = self.settings.price_connection > 0

        def order(node: _Node) -> tuple[bool, bool, float, bool, int]:
            crosses = crossing_costs and node.info.zone != self.settings.zone
            connects = connection_costs and not node.sessions  # a connection to it has to be opened
            return (
                once and node.suspensions > 0,
                connects,
                self._work(node),
                crosses,
                _hash(tie, node.info.node),
            )

        if not self.zone_shares:
            return sorted(usable, key=order)
        picked = self._planned_zone(ask.session)
        return sorted(usable, key=lambda node: (self._plan_rank(node.info.zone, picked), *order(node)))

    # ---- Zones --------------------------------------------------------------------------------------------
    def _set_zone_shares(self, event: fl.ZoneShares) -> None:
        valid = all(0 <= share < math.inf for share in event.shares) and sum(event.shares) > 0
        self.zone_shares = event.shares if valid else ()

    def _planned_zone(self, session: int) -> int:
        """The zone to which the plan assigns this session, the same at each attempt."""
        position = _hash(self.settings.director, session, 1) / 2**64 * sum(self.zone_shares)
        for zone, share in enumerate(self.zone_shares):
            position -= share
            if position < 0:
                return zone
        return max(range(len(self.zone_shares)), key=self.zone_shares.__getitem__)

    def _plan_rank(self, zone: int, picked: int) -> int:
        """Zones without a share in the plan come last, but before a refusal."""
        share = self.zone_shares[zone] if zone < len(self.zone_shares) else 0.0
        return 0 if zone == picked else 1 if share > 0 else 2

    # ---- Rung ---------------------------------------------------------------------------------------------
    def _class(self, ask: fl.Ask) -> fl.SessionClass:
        return self.settings.classes[ask.klass]

    def _rate_kb(self, ask: fl.Ask, rung: int) -> float:
        return self.rates_kb[ask.klass][rung]

    def _highest_rung(self, node: _Node, ask: fl.Ask) -> int | None:
        """The highest rung that keeps the estimated use within the target, or None.

        Steps of the ladder that earn less for their rate have a lower target, which leaves room for later
        sessions that earn more. Otherwise the first sessions would take all the room.
        """
        klass, uses = self._class(ask), self._uses(node)
        targets, rates = self.target_uses[ask.klass], self.rates_kb[ask.klass]
        for rung in range(min(ask.best_rung, klass.top), klass.floor - 1, -1):
            for use, capacity_kb in uses:
                if rates[rung] > (targets[rung] - use) * capacity_kb:
                    break
            else:
                return rung
        return None

    def _target_use(self, klass: fl.SessionClass, rung: int) -> float:
        return TARGET_USE - TARGET_USE_STEP * math.log2(
            self.best_worth_per_kb / max(self._worth_per_kb(klass, rung), 1e-9)
        )

    def _worth_per_kb(self, klass: fl.SessionClass, rung: int) -> float:
        """Worth per kB/s of the step to this rung; at the class's floor, of the better of the first two."""
        kb, worth = self.settings.ladder_kb, self.settings.ladder_worth
        first = worth[0] / kb[0]
        steps = [first] + [(worth[k] - worth[k - 1]) / (kb[k] - kb[k - 1]) for k in range(1, len(kb))]
        return klass.worth * (max(steps[:2]) if rung <= klass.floor else steps[rung]) / klass.rate_scale

    # ---- Request life -------------------------------------------------------------------------------------
    def _requested(self, ask: fl.Ask) -> None:
        session = _Session(ask, self.now, self.now + ask.ttl_ms)
        cells = self.settings.cells
        holder_cells = ((ask.first_cell + k) % cells for k in range(min(ask.holders, cells)))
        for cell in (ALL_CELLS, *holder_cells):
            self.cell_requests[cell] = (self._recent_requests(cell) + 1, self.now)
        if self.settings.extra_span_ms > 0:
            self.request_times.append(self.now)
            self._trim_budget()
        self.sessions[ask.session] = session
        if not self._place(session):
            self._hold(session)

    def _place(self, session: _Session) -> bool:
        klass = self._class(session.ask)
        if session.ask.best_rung < klass.floor or not self._seat_free(session.ask):
            return False
        if session.attempts and not self._may_retry(session):
            return False  # checked again after a hold: other sessions may have used up the budget of attempts
        holders = self._holders(session)
        rivals: list[tuple[float, bool]] = []
        for node in holders:
            rung = self._highest_rung(node, session.ask)
            if rung is None:
                continue
            if self._is_cold(node):
                rivals = rivals or self._rivals(holders, session.ask)
                if not self._has_cold_turn(node, session.ask, rivals):
                    continue
            self._send(session, node, rung)
            return True
        return self._place_on_trial(session, holders)

    def _place_on_trial(self, session: _Session, holders: list[_Node]) -> bool:
        """Set up at a link that may have room again, at the lowest rung: only then is it reported on.

        Reports come with answers and with sessions that play. A link that was last reported full, and at
        which no own session is left, would otherwise count as full for good.
        """
        for node in holders:
            if self._may_have_room(node, session.ask) and self._has_trial_turn(node, session.ask):
                self._send(session, node, self._class(session.ask).floor)
                return True
        return False

    def _may_have_room(self, node: _Node, ask: fl.Ask) -> bool:
        """Whether only overdue reports say that the node has no room for the lowest rung."""
        if node.sessions or self._is_cold(node):
            return False
        if max(node.link.short_until, node.rack.short_until) > self.now:
            return False
        floor = self._class(ask).floor
        rate, target = self.rates_kb[ask.klass][floor], self.target_uses[ask.klass][floor]
        return all(
            rate <= (target - use) * capacity_kb or self._is_report_overdue(pipe)
            for pipe, (use, capacity_kb) in zip((node.link, node.rack), self._uses(node), strict=False)
        )

    def _is_report_overdue(self, pipe: _Pipe) -> bool:
        """Whether the estimated use rests on old reports only, and no own session is there to bring one."""
        if pipe.nodes_in_use:
            return False
        return self.now - self._estimated_at(pipe) >= self.raise_delay_ms

    def _estimated_at(self, pipe: _Pipe) -> float:
        """Time of the latest report on which the estimated use of a link or an uplink rests.

        The use of an unreported link is the mean over links, which is new as long as any link is reported on.
        So that does not count for ever for a node to which nothing is sent.
        """
        if pipe.reported_use is not None:
            return pipe.use_at
        node = pipe.nodes[0]
        if node.link is pipe:
            idle_since = max(node.sent_at, node.listed_at)
            return min(self.mean_use_at, idle_since + (UNREPORTED_TRIAL_DELAYS - 1) * self.raise_delay_ms)
        return max(self._estimated_at(node.link) for node in pipe.nodes)

    def _has_trial_turn(self, node: _Node, ask: fl.Ask) -> bool:
        """Whether this director may try the node now: all directors together keep to its cold budget."""
        if self.settings.warm_up_ms <= 0:
            return True
        turn_ms = self._cold_turn_ms(node)
        requests = self._fleet_requests(node, ask, turn_ms)
        turns = min(max(math.ceil(requests / COLD_TURN_REQUESTS), 1), self.settings.directors)
        if self.now - node.sent_at < turn_ms * turns:
            return False
        return self._is_turn(node, self.now, turn_ms, turns)

    def _send(self, session: _Session, node: _Node, rung: int) -> None:
        self.held.pop(session.ask.session, None)
        session.sent_at = self.now
        if session.attempts and self.settings.extra_span_ms > 0:
            self.extra_attempt_times.append(self.now)
        timeout_ms = session.deadline - self.now
        klass = self._class(session.ask)
        if klass.repeat is fl.Repeat.FREE:
            timeout_ms = min(timeout_ms, max(ATTEMPT_FRACTION * klass.wanted_ms, 1.0))
        session.attempts += 1
        session.tried.append(node.info.node)
        session.state, session.node = _State.SETTING_UP, node
        node.add_session(session)
        node.setting_up += 1
        node.sent_at = self.now
        self._change_seats(session.ask, 1)
        self._assign_rung(session, rung)
        self.actions.append(fl.SetRung(session.ask.session, rung))
        self.actions.append(fl.SetUp(session.ask.session, node.info.node, timeout_ms))

    def _assign_rung(self, session: _Session, rung: int) -> None:
        """Set the session's rung and count its rate at its node and rack."""
        self._change_rate(session, self._rate_kb(session.ask, rung))
        session.rung = rung
        self._update_raisable(session)

    def _update_raisable(self, session: _Session) -> None:
        """Keep the node's raisable sessions up to date: each report searches these few, not hundreds."""
        if session.node is not None:
            top = min(session.ask.best_rung, self._class(session.ask).top)
            if session.state is _State.PLAYING and session.rung < top:
                session.node.raisable[session.ask.session] = session
            else:
                session.node.raisable.pop(session.ask.session, None)

    def _change_rate(self, session: _Session, kb: float) -> None:
        self.rack_use_cache.clear()
        if session.node is not None:
            session.node.link.record_change(self.now, kb - session.rate_kb)
            session.node.rack.record_change(self.now, kb - session.rate_kb)
            if session.state is _State.PLAYING:
                session.node.playing_kb += kb - session.rate_kb
                self.playing_kb += kb - session.rate_kb
        session.rate_kb = kb

    def _count_playing(self, session: _Session, node: _Node, more: int) -> None:
        """Count the session as playing at the node (`more` is 1) or no longer (-1)."""
        self.playing += more
        self.playing_kb = self.playing_kb + more * session.rate_kb if self.playing else 0.0
        node.playing_kb += more * session.rate_kb
        self._update_raisable(session)

    def _hold(self, session: _Session) -> None:
        """Hold the request for a short time, or give it up at once if the time for a hold is over."""
        if self._hold_ends(session) <= self.now:
            self._give_up(session)
        else:
            session.state = _State.HELD
            self.held[session.ask.session] = session
            if not self.recheck_scheduled:
                self.recheck_scheduled = True
                self.actions.append(fl.SetTimer(RECHECK_INTERVAL_MS, 0))

    def _hold_ends(self, session: _Session) -> float:
        hold_ms = HOLD_FRACTION * self._class(session.ask).wanted_ms
        return min(session.requested_at + hold_ms, session.deadline - 2 * RECHECK_INTERVAL_MS)

    def _give_up(self, session: _Session) -> None:
        """Give the final answer: Fail if a set-up that is not free to repeat may have run, else Refuse."""
        number = session.ask.session
        self.rack_use_cache.clear()
        self.held.pop(number, None)
        self.sessions.pop(number, None)
        if session.may_have_run and self._class(session.ask).repeat is not fl.Repeat.FREE:
            self.actions.append(fl.Fail(number))
        else:
            come_back_ms = self.settings.come_back_max_ms if self.settings.come_back else 0.0
            self.actions.append(fl.Refuse(number, come_back_ms))

    def _recheck_held(self, _: fl.Wake) -> None:
        self.recheck_scheduled = False
        for session in list(self.held.values()):
            if not self._place(session):
                self._hold(session)

    def _started(self, event: fl.Started) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.node is None or session.state is not _State.SETTING_UP:
            return
        session.state, session.answered = _State.PLAYING, True
        session.node.setting_up -= 1
        self._count_playing(session, session.node, 1)
        self._clear_failures(session.node)

    def _ended(self, event: fl.Ended) -> None:
        node = self.nodes.get(event.node)
        self._load_reported(node, event.load)
        session = self.sessions.get(event.session)
        if session is None or session.node is None or session.attempts - 1 != event.attempt:
            return
        was_playing = session.state is _State.PLAYING
        same_process = session.node is node
        self._detach(session)
        if node is not None and same_process:
            self._count_failure(node, event.outcome, was_playing)
        if event.outcome is fl.Outcome.FULL and node is not None:
            self.rack_use_cache.clear()
            if self.settings.node_full_from > 0:
                node.link.record_use(
                    max(1.0, self.settings.node_full_from, node.link.reported_use or 0.0), self.now
                )
            else:
                # Without that setting nodes take set-ups however full their link is, and refuse for lack of
                # slots. That says nothing of the link's use, and a director without sessions there might get
                # no report that corrects it: pause the node instead.
                node.link.short_until = self.now + SHORT_DURATION_MS
        if (
            event.outcome is fl.Outcome.NEVER_SENT
            and session.attempts > 1
            and session.sent_at in self.extra_attempt_times
        ):
            self.extra_attempt_times.remove(session.sent_at)
        session.may_have_run |= not event.outcome.proves_unrun
        if event.final or session.answered:
            self.sessions.pop(event.session, None)
        elif not self._may_retry(session):
            self._give_up(session)
        elif not self._place(session):
            self._hold(session)

    def _may_retry(self, session: _Session) -> bool:
        """Whether one more attempt is safe, useful and allowed; WINDOWED counts as not repeatable."""
        if session.may_have_run and self._class(session.ask).repeat is not fl.Repeat.FREE:
            return False
        return (
            session.attempts < self.settings.max_attempts
            and session.deadline - self.now > self.settings.tick_ms
            and self._budget_allows()
        )

    def _detach(self, session: _Session) -> None:
        """Remove the session from the counters of its node."""
        node = session.node
        if node is None:
            return
        self._change_seats(session.ask, -1)
        if session.state is _State.SETTING_UP:
            node.setting_up -= 1
        elif session.state is _State.PLAYING:
            self._count_playing(session, node, -1)
            session.state = _State.HELD
        self._change_rate(session, 0.0)
        node.remove_session(session.ask.session)
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
        node.add_session(session)
        self._change_seats(event.ask, 1)
        self._count_playing(session, node, 1)
        self._assign_rung(session, self._class(event.ask).floor)

    # ---- Rung changes while playing -----------------------------------------------------------------------
    def _step_down(self, session: _Session) -> tuple[float, float]:
        """What one rung less saves, kB/s, and the worth that it loses per kB/s."""
        ask, s = session.ask, self.settings
        saved = session.rate_kb - self._rate_kb(ask, session.rung - 1)
        lost = s.ladder_worth[session.rung] - s.ladder_worth[session.rung - 1] + self._change_cost(session)
        return saved, self._class(ask).worth * lost / saved

    def _step_up(self, session: _Session) -> tuple[float, float]:
        """What one rung more costs, kB/s, and the worth that it gains per kB/s."""
        ask, s = session.ask, self.settings
        added = self._rate_kb(ask, session.rung + 1) - session.rate_kb
        gained = s.ladder_worth[session.rung + 1] - s.ladder_worth[session.rung]
        return added, self._class(ask).worth * (
            gained - RAISE_GAIN_FACTOR * self._change_cost(session)
        ) / added

    def _change_cost(self, session: _Session) -> float:
        """Cost of a rung change as a fraction of what the rest of the session can earn; 0 before it plays."""
        if session.state is not _State.PLAYING:
            return 0.0
        rest_s = EXPECTED_REST_S
        if session.ask.length_ms is not None:
            rest_s = max(
                (session.ask.length_ms + session.requested_at - self.now) / 1000.0, MIN_EXPECTED_REST_S
            )
        return self.settings.rung_change_s / rest_s

    def _sessions_on(self, pipe: _Pipe) -> list[_Session]:
        return [session for node in pipe.nodes for session in node.sessions.values()]

    def _cheapest_to_lower(self, sessions: list[_Session]) -> _Session | None:
        low = [s for s in sessions if s.rung > self._class(s.ask).floor]
        return min(low, key=lambda s: (self._step_down(s)[1], s.ask.session), default=None)

    def _set_rung(self, session: _Session, rung: int) -> None:
        self._assign_rung(session, rung)
        self.actions.append(fl.SetRung(session.ask.session, rung))

    def _lower_sessions(self, pipe: _Pipe, use: float) -> None:
        """Lower own sessions on an overloaded link or uplink by this director's part of the excess.

        All directors with sessions there get the same reports, so each cuts its own part, once per report.
        The part is rounded to whole steps at random, so that the sum over many directors comes out right.
        """
        if use <= LOWER_ABOVE_USE:
            return
        pipe.lowered_at = pipe.overloaded_at = self.now
        sessions = self._sessions_on(pipe)
        excess_kb = pipe.own_kb * (1 - LOWER_TO_USE / use)
        while (session := self._cheapest_to_lower(sessions)) is not None:
            saved = self._step_down(session)[0]
            if excess_kb < saved * self.random.random():
                break
            excess_kb -= saved
            self._set_rung(session, session.rung - 1)

    def _raise_sessions(self, rack: _Pipe) -> None:
        """Raise a few own sessions of the rack if there was room for long enough and the gain is worth it.

        Other directors see the same room, so each takes the part that its sessions have of all rates there,
        rounded to whole steps at random: with equal parts, many directors would raise nothing.
        """
        if self.now < rack.overloaded_at + self.raise_delay_ms:
            return
        raised_kb, draw = 0.0, self.random.random()
        nodes = [n for n in rack.nodes if n.raisable and self._may_raise(n)]
        raises = [(self._step_up(s), s) for node in nodes for s in node.raisable.values()]
        if not raises:
            return
        uplink = [(self._rack_use(rack), rack)] if rack.capacity_kb < math.inf else []
        for (added, gain), session in sorted(raises, key=lambda entry: (-entry[0][1], entry[1].ask.session)):
            node = session.node
            if node is None or gain <= 0 or node.link.use_at <= node.link.raised_at:
                continue
            target = self.target_uses[session.ask.klass][session.rung + 1] - RAISE_MARGIN
            pipes = [(self._link_use(node), node.link), *uplink]
            parts = [(target / max(use, 1e-9) - 1) * pipe.own_kb for use, pipe in pipes]
            fits = all(use + added / pipe.capacity_kb <= target for use, pipe in pipes)
            if fits and added * draw <= parts[0] and raised_kb + added * draw <= RAISE_FRACTION * parts[-1]:
                raised_kb += added
                node.link.raised_at = self.now
                self._set_rung(session, session.rung + 1)

    def _may_raise(self, node: _Node) -> bool:
        """Whether the link has had room for long enough, and was reported on since its last raise."""
        link = node.link
        return self.now - link.overloaded_at >= self.raise_delay_ms and link.use_at > link.raised_at

    # ---- Guards -------------------------------------------------------------------------------------------
    def _list_received(self, event: fl.NodeList) -> None:
        if event.kind is fl.ListKind.FAILED:
            if self.settings.list_by_ask:
                self.retry_list_at = self.now + RETRY_LIST_MS
                self.actions.append(fl.SetTimer(RETRY_LIST_MS, 1))
            return
        listed = {info.node for info in event.nodes}
        for info in event.nodes:
            self._update_node(info, event.kind)
        if event.kind is not fl.ListKind.DELTA:
            for name in [name for name in self.nodes if name not in listed]:
                self._remove_node(name)

    def _new_pipe(self, kb: float) -> _Pipe:
        kb = kb if kb >= MIN_CAPACITY_KB else MIN_CAPACITY_KB
        return _Pipe(kb, kb, overloaded_at=self.now - (1 - FIRST_RAISE_FRACTION) * self.raise_delay_ms)

    def _remove_node(self, name: int) -> None:
        node = self.nodes.pop(name, None)
        if node is not None:
            node.rack.nodes.remove(node)
            node.rack.nodes_in_use.discard(id(node))
            self.cells[node.info.cell].remove(node)

    def _update_node(self, info: fl.NodeInfo, kind: fl.ListKind) -> None:
        node = self.nodes.get(info.node)
        if info.status is fl.Status.GONE or (node is not None and node.info.cell != info.cell):
            self._remove_node(info.node)
            node = None
        if info.status is fl.Status.GONE:
            return
        if node is None:
            link = self._new_pipe(info.weight * self.settings.link_kb_per_weight)
            number = info.cell % max(self.settings.racks, 1)
            uplink_kb = self.settings.uplink_kb
            rack = self.racks.setdefault(number, self._new_pipe(uplink_kb if uplink_kb > 0 else math.inf))
            node = self.nodes[info.node] = _Node(info, link, rack, listed_at=self.now)
            link.nodes.append(node)
            rack.nodes.append(node)
            self.cells.setdefault(info.cell, []).append(node)
            if kind is fl.ListKind.CACHED:
                node.cold_since = self.now  # a cached list may be stale: the node may have restarted since
        elif info.started_ms != node.info.started_ms:
            node.link.reported_use = None
            node.failures, node.suspensions, node.suspended_until = 0, 0, 0.0
        node.info = info
        if info.started_ms > 0:
            node.cold_since = max(node.cold_since, info.started_ms)

    def _is_cold(self, node: _Node) -> bool:
        return self.now - node.cold_since < self.settings.warm_up_ms

    def _rivals(self, holders: list[_Node], ask: fl.Ask) -> list[tuple[float, bool]]:
        """Own work at each holder with room, and whether that holder is cold."""
        return [(self._work(n), self._is_cold(n)) for n in holders if self._highest_rung(n, ask) is not None]

    def _recent_requests(self, cell: int) -> float:
        """Decayed count of requests that the cell could serve, over about the last warm-up time."""
        count, as_of = self.cell_requests.get(cell, (0.0, 0.0))
        return count * math.exp((as_of - self.now) / max(self.settings.warm_up_ms, 1.0))

    def _request_rate(self, cell: int) -> float:
        """The same per ms that this director has run, so that it is not too low right after a start."""
        span = max(self.settings.warm_up_ms, 1.0)
        observed_ms = span * (1 - math.exp((self.started_at - self.now) / span))
        return self._recent_requests(cell) / max(observed_ms, 1.0)

    def _fleet_requests(self, node: _Node, ask: fl.Ask, turn_ms: float) -> float:
        """Requests of all directors for the node's cell within one turn, estimated from this director's own.

        For a node known to be cold, by the list or since it failed, the rate of the cell itself counts,
        as a title may be in high demand; while requests are held, those accumulated count too. A node that
        only may be cold, as all nodes of a cached list, gets the mean rate: otherwise a fleet that
        has just started would refuse most requests.
        """
        s = self.settings
        mean = self._request_rate(ALL_CELLS) * min(ask.holders / s.cells, 1.0)
        if node.info.started_ms <= self.now - s.warm_up_ms and node.cold_since <= self.started_at:
            return s.directors * mean * turn_ms
        accumulated_ms = HOLD_FRACTION * self._class(ask).wanted_ms if self.held else 0.0
        rate = min(self._request_rate(node.info.cell), MAX_CELL_RATE_RATIO * mean)
        return s.directors * rate * (turn_ms + accumulated_ms)

    def _has_cold_turn(self, node: _Node, ask: fl.Ask, rivals: list[tuple[float, bool]]) -> bool:
        """Whether it is this director's turn to send a set-up to a cold node, within the node's budget.

        Directors take turns counted from the node's start, so they need not communicate. Several directors
        share a turn if together they have few requests for the node: with hundreds of directors and a turn
        for each, most turns would come after the warm-up. Of the rivals with room and no more work, a warm
        one takes an equal part of the requests and a cold one only what its turn allows. Nodes of a cached
        list count as cold, so that a restarted director does not flood the first nodes that it sees; so do
        nodes that failed. A director's own set-ups are a whole round of turns apart, so that a few directors
        stay within the budget whoever has the turn. If the node was warm after all, its room stays unused.
        """
        s = self.settings
        turn_ms = self._cold_turn_ms(node)
        if node.sent_at >= node.cold_since and self.now - node.sent_at < turn_ms * s.directors:
            return False
        requests = self._fleet_requests(node, ask, turn_ms)
        work = self._work(node)
        equal = [cold for other, cold in rivals if other <= work]  # includes the node itself
        also_cold = sum(equal) - 1
        turns = math.ceil((requests / COLD_TURN_REQUESTS - also_cold) / (len(equal) - also_cold))
        turns = min(max(turns, 1), s.directors)
        return self._is_turn(node, self.now - node.cold_since, turn_ms, turns)

    def _cold_turn_ms(self, node: _Node) -> float:
        """The time in which a cold node's budget allows the fleet one set-up; `warm_up_ms` is above 0."""
        s = self.settings
        slots = s.kind_slots[node.info.kind] if node.info.kind < len(s.kind_slots) else min(s.kind_slots)
        return s.warm_up_ms / (slots * s.cold_from * s.cold_multiple * COLD_BUDGET_FRACTION)

    def _is_turn(self, node: _Node, elapsed_ms: float, turn_ms: float, turns: int) -> bool:
        """Whether this director has the present one of so many turns at the node."""
        return (int(elapsed_ms // turn_ms) + node.info.node) % turns == self.settings.director % turns

    def _count_failure(self, node: _Node, outcome: fl.Outcome, was_playing: bool) -> None:
        """Suspend a node that breaks, cannot be reached or does not start what it was sent.

        One rule covers nodes that are dead, cut off, hung or slow. A single error may be the session's own
        fault. The rule does harm where many set-ups are slow at once; if all holders are suspended, they are
        used all the same.
        """
        if outcome is fl.Outcome.ERROR and not was_playing:
            node.failures += 1
        elif outcome in (fl.Outcome.RESET, fl.Outcome.CONNECT_FAILED, fl.Outcome.TIMEOUT):
            node.failures += MAX_FAILURES
        else:
            return
        if node.failures >= MAX_FAILURES and self.now >= node.suspended_until:
            node.suspended_until = self.now + min(
                FIRST_SUSPENSION_MS * 2**node.suspensions, MAX_SUSPENSION_MS
            )
            node.suspensions += 1
            node.cold_since = max(
                node.cold_since, self.now
            )  # it may return cold, and other directors wait for it too

    def _clear_failures(self, node: _Node) -> None:
        """A set-up has started: end the suspension. A node that was suspended counts as cold."""
        if node.suspensions:
            node.cold_since = max(node.cold_since, node.sent_at)  # it may have restarted since it failed
        node.failures = node.suspensions = 0

    def _seat_free(self, ask: fl.Ask) -> bool:
        seats = self._class(ask).seats
        return seats <= 0 or self.seats.get((ask.title, ask.klass), 0) < seats

    def _change_seats(self, ask: fl.Ask, more: int) -> None:
        self._count_seats(ask.title, ask.klass, more)

    def _count_seats(self, title: int, klass: int, more: int) -> None:
        seat = (title, klass)
        self.seats[seat] = self.seats.get(seat, 0) + more
        if not self.seats[seat]:
            del self.seats[seat]

    def _trim_budget(self) -> None:
        for log in (self.request_times, self.extra_attempt_times):
            while log and log[0] <= self.now - self.settings.extra_span_ms:
                log.popleft()

    def _budget_allows(self) -> bool:
        """Whether one more attempt stays within the budget of attempts beyond each session's first."""
        s = self.settings
        self._trim_budget()
        return s.extra_span_ms <= 0 or len(
            self.extra_attempt_times
        ) + 1 <= s.extra_free + s.extra_ratio * len(self.request_times)
