"""Scans of what directors do for each other: membership, takeover, registers, plans, the server list."""

from __future__ import annotations

from itertools import count

import msgspec

from bench.scale.sampling import Sample, allocated_bytes, exact, processor_ms
from bench.scale.scan import CONFIGURATION, CONTROL, DISCOVERY, PLAN_MAKERS, REGISTER_HOLDERS, Scan
from foxlift import interface as fl
from foxlift.config.settings import PeerConfig
from foxlift.consensus import Accept, Ballot, Prepare, Proposer, Record, Replica, replicas_of
from foxlift.consensus import replica as acceptor
from foxlift.director.cluster.zone_planning import ReportMessage
from foxlift.membership import BoxEntry, BoxList, CacheList, ListDelta, ListReceived, ListWatch, PollDue
from foxlift.membership.boxlist import encode_full, read_response
from foxlift.peers import view, view_messages
from foxlift.peers.messages import MAX_UPDATES, PeerState, Ping, Update
from foxlift.platform import discovery_watch
from foxlift.recovery import takeover
from foxlift.zones import agreement
from foxlift.zones.evidence import Evidence, Report, ZoneObservation
from foxlift.zones.plan import Plan, Planner

ZONES = tuple(f"zone-{number}" for number in range(9))
REGIONS = {zone: f"region-{number // 3}" for number, zone in enumerate(ZONES)}
SERVERS = 100
"""Servers on the list where a scan grows by something else."""
DIRECTORS = 4_200
"""Directors of the fleet where a scan grows by something else."""
PEER_RUN = 1_790_000_000_000
LEASE_MS = 86_400_000
NOW_MS = 1_790_000_000_000
FLEET_SIZES = (100, 300, 1_000, 4_200)


def director_names(count: int) -> list[str]:
    """Names of the length that the operators' pages use."""
    return [f"director-{number:05d}" for number in range(count)]


def server_names(count: int) -> frozenset[str]:
    """The same for servers."""
    return frozenset(f"server-{number:05d}" for number in range(count))


# ---- Membership -------------------------------------------------------------------------------------------
def _view_with_news(directors: int) -> view.Peers:
    """A view that has just heard of everybody: each peer's first word is news to be told on."""
    names = director_names(directors)
    member = view.Peers(names[0], PEER_RUN, names, seed=1)
    for begin in range(1, directors, MAX_UPDATES):
        told = names[begin : begin + MAX_UPDATES]
        updates = tuple(Update(name, PeerState.ALIVE, PEER_RUN, 0) for name in told)
        member.handle(0.0, view_messages.RequestReceived(begin, Ping(told[0], PEER_RUN, updates)))
    return member


def _answer_with_news(directors: int) -> Sample:
    member = _view_with_news(directors)
    question = view_messages.RequestReceived(1, Ping(director_names(directors)[1], PEER_RUN))
    return processor_ms(lambda: member.handle(0.0, question))


def _probe_choice(directors: int) -> Sample:
    member = _view_with_news(directors)
    member._gossip.clear()  # long after the start: what is left is the choice of whom to probe
    due = view_messages.TimerDue(view_messages.NextProbe())
    return processor_ms(lambda: member.handle(0.0, due), rounds=31)


def _peer_in_settings(directors: int) -> Sample:
    """As the settings file names a peer, each on a line."""
    lines = [
        f'      (peer (name "{name}") (url "http://10.0.{number >> 8}.{number & 255}:7400"))\n'
        for number, name in enumerate(director_names(directors)[1:])
    ]
    msgspec.convert({"type": "peer", "name": "d", "url": "http://10.0.0.1:7400"}, PeerConfig)
    return exact(float(sum(len(line) for line in lines)))


# ---- Takeover ---------------------------------------------------------------------------------------------
def _takeovers(names: list[str], servers: int, dead: int) -> takeover.Takeovers:
    machine = takeover.Takeovers(names[0], frozenset(names), seed=1)
    there = tuple(names[: len(names) - dead])
    for name in names[len(names) - dead :]:
        machine.handle(0.0, takeover.PeerChanged(name, PeerState.DEAD, PEER_RUN, there))
    machine.handle(0.0, takeover.BoxesListed(server_names(servers)))
    return machine


def _plan_after_a_change(names: list[str], servers: int, dead: int) -> Sample:
    """A death and a return of one more director are two changes."""
    machine = _takeovers(names, servers, dead)
    there = tuple(names[: len(names) - dead])
    without = tuple(name for name in there if name != names[1])
    epochs = count(PEER_RUN + 1)

    def die_and_return() -> None:
        epoch = next(epochs)
        machine.handle(0.0, takeover.PeerChanged(names[1], PeerState.DEAD, epoch, without))
        machine.handle(0.0, takeover.PeerChanged(names[1], PeerState.ALIVE, epoch + 1, there))

    both = processor_ms(die_and_return, rounds=9)
    return Sample(both.value / 2, both.error / 2)


def _plans_of_deaths(dead: int) -> Sample:
    """All plans of one survivor while so many directors die one after another."""
    names = director_names(DIRECTORS)
    first_dead = DIRECTORS - dead
    deaths = [
        takeover.PeerChanged(
            names[first_dead + place],
            PeerState.DEAD,
            PEER_RUN,
            (*names[:first_dead], *names[first_dead + place + 1 :]),
        )
        for place in range(dead)
    ]

    def die() -> None:
        machine = _takeovers(names, SERVERS, 0)
        machine.handle(0.0, takeover.PeerChanged(names[1], PeerState.ALIVE, PEER_RUN, tuple(names)))
        for death in deaths:
            machine.handle(0.0, death)

    return processor_ms(die, rounds=1)


def _plan_of_a_death(dead: int) -> Sample:
    return _plan_after_a_change(director_names(DIRECTORS), SERVERS, dead)


def _plan_by_directors(directors: int) -> Sample:
    return _plan_after_a_change(director_names(directors), SERVERS, dead=1)


def _plan_by_servers(servers: int) -> Sample:
    return _plan_after_a_change(director_names(1_000), servers, dead=1)


def _plan_by_dead(dead: int) -> Sample:
    return _plan_after_a_change(director_names(1_000), 20, dead)


def _heard_by_all(dead: int) -> takeover.Takeovers:
    names = director_names(DIRECTORS)
    machine = _takeovers(names, 0, dead)
    for name in names[1 : DIRECTORS // 2 + 1]:
        machine.handle(0.0, takeover.PeerContacted(name))
    return machine


def _memory_of_the_dead(dead: int) -> Sample:
    return allocated_bytes(lambda: _heard_by_all(dead))


def _message_while_dead(dead: int) -> Sample:
    machine = _takeovers(director_names(DIRECTORS), 0, dead)
    heard = takeover.PeerContacted(director_names(DIRECTORS)[1])
    return processor_ms(lambda: machine.handle(0.0, heard), rounds=31)


# ---- Registers -------------------------------------------------------------------------------------------
def _holders_of_a_claim(directors: int) -> Sample:
    names = frozenset(director_names(directors))
    return processor_ms(lambda: replicas_of("t/7f2c5f3e-6a51-4a0e-9a25-0d2bb9d41c55", names, 5))


def _held_registers(keys: int) -> Replica:
    holder = Replica(LEASE_MS, 10_000)
    value = (
        '["director-00001",1790000000000,"server-00001","director-00001.19f0-1a2b-0",1790000000000,"b1c2"]'
    )
    for number in range(keys):
        key = f"t/7f2c5f3e-6a51-4a0e-9a25-{number:012x}"
        ballot = Ballot(1, f"director-{number % DIRECTORS:05d}.{PEER_RUN}")
        expires = NOW_MS + 3_600_000
        for message in (Prepare(key, ballot, expires), Accept(key, ballot, expires, f"{value} {number}")):
            # as it comes from the wire: every string is its own
            wire = msgspec.json.decode(msgspec.json.encode(message), type=Prepare | Accept)
            holder.handle(NOW_MS, acceptor.RequestReceived(number, wire))
            holder.handle(NOW_MS, acceptor.Stored(number))
    return holder


def _memory_of_registers(keys: int) -> Sample:
    return allocated_bytes(lambda: _held_registers(keys))


def _forgetting(keys: int) -> Sample:
    ballot = Ballot(1, "director-00001")
    records = {f"t/{number}": Record(f"t/{number}", NOW_MS * 2, ballot) for number in range(keys)}
    holder = Replica(LEASE_MS, 10_000, records=records)
    clock = iter(range(NOW_MS, NOW_MS * 2, 20_000))
    # another end than the record's: refused at once, so that what is timed is the scan for what is over
    refused = acceptor.RequestReceived(1, Prepare("t/0", ballot, 1))
    return processor_ms(lambda: holder.handle(next(clock), refused))


# ---- Plan makers ------------------------------------------------------------------------------------------
def _sights() -> dict[str, ZoneObservation]:
    return {zone: ZoneObservation(112, 1, 2, 3, 0.98765, 784_000.0, 612_345.6, 51_234.5) for zone in ZONES}


def _report_bytes(zones: int) -> Sample:
    names = [f"zone-{number}" for number in range(zones)]
    sights = {zone: ZoneObservation(112, 1, 2, 3, 0.98765, 784_000.0, 612_345.6, 51_234.5) for zone in names}
    message = ReportMessage("director-00001", PEER_RUN, names[0], 1.25, 0.9995, sights)
    return exact(float(len(msgspec.json.encode(message))))


def _evidence(directors: int) -> Evidence:
    evidence = Evidence(ZONES)
    for number, name in enumerate(director_names(directors)):
        evidence.add(Report(name, PEER_RUN, ZONES[number % 9], 0.0, 0.0, 1.0, _sights()))
    return evidence


def _judging(directors: int) -> Sample:
    evidence = _evidence(directors)
    return processor_ms(lambda: evidence.assess(100.0))


def _telling_a_plan(directors: int) -> Sample:
    names = director_names(directors)
    follower = agreement.PlanAgreement(
        names[0], tuple(names[1:6]), Planner(REGIONS), Evidence(ZONES), Proposer("r", 1), seed=1
    )
    follower.handle(0.0, agreement.MembershipChanged(frozenset(names)))
    follower.handle(0.0, agreement.PlanReceived(Plan(1), 0.0))
    return processor_ms(lambda: follower.handle(0.0, agreement.GossipDue()), rounds=31)


# ---- The server list --------------------------------------------------------------------------------------
def _entry(number: int, status: fl.Status = fl.Status.READY) -> BoxEntry:
    name = f"server-{number:05d}"
    zone = ZONES[number % 9]
    return BoxEntry(
        name, number, f"10.1.{number >> 8}.{number & 255}", 8_000, zone, "std", 0, status, 1.0, 0.0
    )


def _whole_list(servers: int) -> BoxList:
    return BoxList(1, tuple(_entry(number) for number in range(servers)))


def _one_change(servers: int) -> Sample:
    """A server drains: what the client does with it, the copy on disk included, the disk itself left out."""
    watch = ListWatch(None, 500.0, seed=1)
    watch.handle(PollDue())
    watch.handle(ListReceived(_whole_list(servers)))
    version = iter(range(2, 10**9))

    def change() -> None:
        drained = ListDelta(next(version), (_entry(0, fl.Status.DRAINING),), ())
        for action in watch.handle(ListReceived(drained)):
            if isinstance(action, CacheList):
                encode_full(action.boxes)

    return processor_ms(change)


def _list_bytes(servers: int) -> Sample:
    return exact(float(len(encode_full(_whole_list(servers)))))


def _reading_a_list(servers: int) -> Sample:
    body = encode_full(_whole_list(servers))
    return processor_ms(lambda: read_response(body), rounds=5)


def _whole_frame(servers: int) -> bytes:
    head = discovery_watch._FRAME_HEADER.pack(
        discovery_watch._FRAME_HEADER.size - 4 + discovery_watch._SERVER_RECORD.size * servers, 1, 1
    )
    record = discovery_watch._SERVER_RECORD.pack
    rows = (
        record(number, 10, 1, number >> 8 & 255, number & 255, 5060, 0, number % 9, 0, 0, 1000, 0)
        for number in range(servers)
    )
    return head + b"".join(rows)


def _frame_bytes(servers: int) -> Sample:
    return exact(float(len(_whole_frame(servers))))


def _reading_a_frame(servers: int) -> Sample:
    frame = _whole_frame(servers)
    return processor_ms(lambda: discovery_watch.FrameReader(9, 1, 1).feed(frame), rounds=5)


SERVER_SIZES = (300, 1_000, 3_000, 10_000, 30_000)

SCANS = (
    Scan(
        "answer to a probe while all first words are news",
        CONTROL,
        "ms",
        "directors",
        FLEET_SIZES,
        _answer_with_news,
    ),
    Scan("choice of whom to probe", CONTROL, "ms", "directors", FLEET_SIZES, _probe_choice),
    Scan(
        "settings lines that name the peers",
        CONFIGURATION,
        "bytes",
        "directors",
        FLEET_SIZES,
        _peer_in_settings,
    ),
    Scan(
        "plan of takeovers after one change, 100 servers, 1 dead",
        CONTROL,
        "ms",
        "directors",
        FLEET_SIZES,
        _plan_by_directors,
    ),
    Scan(
        "plan of takeovers after one change, 1,000 directors, 1 dead",
        CONTROL,
        "ms",
        "servers",
        (30, 100, 300, 1_000),
        _plan_by_servers,
    ),
    Scan(
        "plan of takeovers after one change, 1,000 directors, 20 servers",
        CONTROL,
        "ms",
        "dead directors",
        (1, 3, 10, 30, 100, 467),
        _plan_by_dead,
    ),
    Scan(
        "plan of takeovers after one change, 4,200 directors, 100 servers",
        CONTROL,
        "ms",
        "dead directors",
        (1, 30, 100, 467),
        _plan_of_a_death,
    ),
    Scan(
        "plans of takeovers of deaths one after another, 4,200 directors, 100 servers",
        CONTROL,
        "ms",
        "dead directors",
        (30, 100, 467, 1_400),
        _plans_of_deaths,
    ),
    Scan(
        "memory of whom half of the fleet was heard since a death",
        CONTROL,
        "bytes",
        "dead directors",
        (30, 100, 467, 1_400),
        _memory_of_the_dead,
    ),
    Scan(
        "a peer's message while directors are dead",
        CONTROL,
        "ms",
        "dead directors",
        (30, 100, 467, 1_400),
        _message_while_dead,
    ),
    Scan(
        "place of a claim's register", REGISTER_HOLDERS, "ms", "directors", FLEET_SIZES, _holders_of_a_claim
    ),
    Scan(
        "memory of registers held",
        REGISTER_HOLDERS,
        "bytes",
        "registers",
        (1_000, 3_000, 10_000, 30_000),
        _memory_of_registers,
    ),
    Scan(
        "scan for registers that are over",
        REGISTER_HOLDERS,
        "ms",
        "registers",
        (3_000, 10_000, 30_000, 100_000, 357_000),
        _forgetting,
    ),
    Scan("a director's report to a maker", PLAN_MAKERS, "bytes", "zones", (3, 9, 27), _report_bytes),
    Scan("judgement of nine zones", PLAN_MAKERS, "ms", "directors", FLEET_SIZES, _judging),
    Scan("telling a plan on", CONTROL, "ms", "directors", FLEET_SIZES, _telling_a_plan),
    Scan("one change of the list", DISCOVERY, "ms", "servers", SERVER_SIZES, _one_change),
    Scan("the list as it is sent and kept", DISCOVERY, "bytes", "servers", SERVER_SIZES, _list_bytes),
    Scan("reading the whole list", DISCOVERY, "ms", "servers", SERVER_SIZES, _reading_a_list),
    Scan("the platform's list as it is sent", DISCOVERY, "bytes", "servers", SERVER_SIZES, _frame_bytes),
    Scan("reading the platform's whole list", DISCOVERY, "ms", "servers", SERVER_SIZES, _reading_a_frame),
)
