"""What is wrong already at small cost: tables without bound, work over all, names by hand, whole lists.

Each names the file and function or constant, and either a measured series or how its size follows. What was
read in the code and neither measured nor counted says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bench.scale.curves import SeriesName
from bench.scale.planned_rows import CONNECTIONS, DIRECTORS, LISTED, REGISTERS, ZONE
from bench.scale.scan import (
    CONFIGURATION,
    CONTROL,
    DATA_PATH,
    DISCOVERY,
    LEDGER_EXPORT,
    PLAN_MAKERS,
    REGISTER_HOLDERS,
)


class Kind(Enum):
    """Which of the four faults; also the heading on the page."""

    BOUND = "Bounds below the planned size"
    GROWS = "Tables without a bound"
    WORK = "Work that goes over all sessions, servers or peers"
    NAMES = "Settings that name every peer by hand"
    WHOLE = "Whole lists where changes would do"


@dataclass(frozen=True, slots=True)
class Finding:
    """`series` at `size` where it was measured; else `worked_out` says how large, or that it was read."""

    kind: Kind
    file: str
    where: str
    what: str
    series: SeriesName | None = None
    size: int = 0
    often: str = ""
    worked_out: str = ""
    mend: str = ""


def _scan(what: str, role: str, size_unit: str) -> SeriesName:
    return SeriesName(what, role, size_unit, "in process")


READ = "read in the code, not measured"

_BOUNDS = (
    Finding(
        Kind.BOUND,
        "foxlift/config/settings.py",
        "`PeersConfig.others`",
        "a settings file that names more peers is refused: the fleet cannot be stated",
        worked_out="{{worked:max_named_peers}} of 4,199 needed",
        mend="raise it with the names' own carrier",
    ),
    Finding(
        Kind.BOUND,
        "foxlift/zones/evidence.py",
        "`MAX_REPORTS`",
        "reports of the last directors are dropped without a word",
        worked_out="{{worked:max_reports}} of 4,200 needed",
        mend="one report a zone, gathered there",
    ),
    Finding(
        Kind.BOUND,
        "foxlift/platform/core.py",
        "`MAX_HANDOVERS`",
        "sessions that a restarted director keeps until the list names their servers; the others are told "
        "that they are over",
        worked_out="{{worked:max_handovers}} of 71,400",
        mend="bound it by the connections admitted",
    ),
    Finding(
        Kind.BOUND,
        "foxlift/platform/descriptors.py",
        "`max_client_connections`",
        "connections admitted under the limit of descriptors",
        worked_out="a limit of {{worked:descriptors_needed}} is needed",
        mend="the operators' setting, see the page",
    ),
    Finding(
        Kind.BOUND,
        "foxlift/platform/session_endings.py",
        "`MAX_ENTRIES`",
        "releases kept until their server confirms them, for 5 s; beyond it the oldest is not sent again",
        worked_out="4,096 in 5 s are 819/s of 19,000 deliveries/s",
        mend="bound it by time alone, or by server",
    ),
    Finding(
        Kind.BOUND,
        "foxlift/director/exports.py",
        "`ExportRunner._tick`",
        "one batch of 1,000 records at each tick of 5 s, however many wait: the log on disk grows meanwhile",
        worked_out="{{worked:export_records_per_s}} at most; sessions must last {{worked:export_mean_life}} "
        "on average",
        mend="cut the next batch when one is acknowledged",
    ),
)

_GROWS = (
    Finding(
        Kind.GROWS,
        "foxlift/recovery/takeover.py",
        "`_GoneDirector.contacted`",
        "for each dead director who was heard since: a bit for each name",
        _scan("memory of whom half of the fleet was heard since a death", CONTROL, "dead directors"),
        ZONE,
        mend="**mended**: a set of names each before, 61.8 MB at 467 (the same scan at 7db86a7)",
    ),
    Finding(
        Kind.GROWS,
        "foxlift/director/server_pools.py",
        "`_addresses`, `_pools`",
        "an entry for each server and address ever used; nothing removes them",
        worked_out=f"{READ}; one pool object and two entries a server replaced",
        mend="remove them when the list no longer names the server",
    ),
    Finding(
        Kind.GROWS,
        "foxlift/director/core.py",
        "`_link_uses`, and `_delivered_shares` where no makers are named",
        "an entry for each server that ever sent a notice",
        worked_out=f"{READ}; one entry a server replaced",
        mend="remove with the server",
    ),
    Finding(
        Kind.GROWS,
        "foxlift/decide/attempts.py",
        "`_closed`",
        "an entry for each server ever said to be gone; only its return removes it",
        worked_out=f"{READ}; one number a server replaced",
        mend="remove it with its last attempt",
    ),
    Finding(
        Kind.GROWS,
        "foxlift/recovery/register_store.py",
        "`peer_epochs`",
        "a run for each name ever met, in memory, on disk and in each rewrite of the file",
        worked_out=f"{READ}; one entry a director replaced under a new name, 6,100 a day at most",
        mend="drop names that the settings no longer hold",
    ),
    Finding(
        Kind.GROWS,
        "foxlift/ledger/account.py",
        "`charged`",
        "a token whose end is not known is kept for good; others until an hour after their end",
        _scan("memory of open and charged sessions in the ledger", CONTROL, "sessions"),
        CONNECTIONS,
        mend="an end for every token",
    ),
    Finding(
        Kind.GROWS,
        "foxlift/store/segments.py",
        "`SegmentedLog`",
        "segments are never dropped, also after their records are exported and their periods closed",
        worked_out="known before: the roadmap, embedded store",
        mend="drop what is exported and closed",
    ),
    Finding(
        Kind.GROWS,
        "foxlift/store/intents.py",
        "`IntentLog`",
        "the record of paid set-ups is written anew at a start only",
        worked_out="known before: the roadmap, embedded store",
        mend="rewrite as the registers' book does",
    ),
)

_WORK = (
    Finding(
        Kind.WORK,
        "foxlift/recovery/takeover.py",
        "`Takeovers._update_works`, `Succession`",
        "at each change of the view, the pairs of a dead director and a server are planned again whose "
        "remembered director has gone (here: 100 servers, 1 dead)",
        _scan("plan of takeovers after one change, 100 servers, 1 dead", CONTROL, "directors"),
        DIRECTORS,
        "each change of the view",
        mend="**mended** twice: all names hashed and sorted before, 253 ± 3 ms (at 7db86a7); then all pairs "
        "planned anew, 0.456 ± 0.031 ms",
    ),
    Finding(
        Kind.WORK,
        "foxlift/recovery/takeover.py",
        "the same, by servers",
        "1,000 directors, 1 dead",
        _scan("plan of takeovers after one change, 1,000 directors, 1 dead", CONTROL, "servers"),
        LISTED,
        "each change of the view",
        mend="**mended**: 544 ± 7 ms before",
    ),
    Finding(
        Kind.WORK,
        "foxlift/recovery/takeover.py",
        "the same, by dead directors",
        "1,000 directors, 20 servers",
        _scan("plan of takeovers after one change, 1,000 directors, 20 servers", CONTROL, "dead directors"),
        ZONE,
        "each change of the view",
        mend="**mended**: 5.00 ± 0.07 s before (worked out from 30 dead)",
    ),
    Finding(
        Kind.WORK,
        "foxlift/recovery/takeover.py",
        "`PeerContacted`",
        "each message of a peer is told to each dead director's entry",
        _scan("a peer's message while directors are dead", CONTROL, "dead directors"),
        ZONE,
        "each message of a peer",
        mend="a table of the dead by when they died",
    ),
    Finding(
        Kind.WORK,
        "foxlift/logic.py",
        "`_lower_sessions`, `_cheapest_to_lower`",
        "a full link or uplink: all own sessions there are searched again for each step down, so the time "
        "grows with their square",
        _scan("report of a full link", DATA_PATH, "sessions on the link"),
        800,
        "each report that says so",
        mend="a heap of the steps, made once a report",
    ),
    Finding(
        Kind.WORK,
        "foxlift/platform/transport.py",
        "`_check_stop`, `_pending_work`",
        "what is unsent is summed over all connections at each tick of a stop",
        _scan("look at what is unsent", DATA_PATH, "connections"),
        CONNECTIONS,
        "ten times a second while stopping",
        mend="**mended**: always before, 4.6% of a core at 71,400",
    ),
    Finding(
        Kind.WORK,
        "foxlift/platform/core.py",
        "`_server_connection_lost`",
        "the set-ups that are out on the connection",
        _scan("loss of one connection to a server", DATA_PATH, "sessions"),
        CONNECTIONS,
        "each end of a connection to a server",
        mend="**mended**: all sessions were searched, 0.62 ms at 70,000 (in process, a trial before)",
    ),
    Finding(
        Kind.WORK,
        "foxlift/platform/core.py",
        "`ServerLost` in `handle`",
        "the sessions that stand at the server",
        _scan("loss of one server without sessions", DATA_PATH, "sessions"),
        CONNECTIONS,
        "each loss of a server",
        mend="**mended**: all sessions were searched, 0.61 ms at 70,000 (in process, a trial before)",
    ),
    Finding(
        Kind.WORK,
        "foxlift/platform/core.py",
        "`_server_restarted`",
        "the same at each restart of a server",
        _scan("restart of one server without sessions", DATA_PATH, "sessions"),
        CONNECTIONS,
        "each restart of a server",
        mend="**mended**: as above",
    ),
    Finding(
        Kind.WORK,
        "foxlift/platform/transport.py",
        "`notify_core`",
        "after each event all viewers that do not read are gone over",
        worked_out=f"{READ}; one call each, at each event",
        mend="only when a set-up of theirs ends",
    ),
    Finding(
        Kind.WORK,
        "foxlift/director/core.py",
        "`zone_evidence`",
        "the rates of all sessions are summed anew for each report",
        _scan("sights of zones, over sessions", CONTROL, "sessions"),
        CONNECTIONS,
        "each second",
        mend="keep the sum",
    ),
    Finding(
        Kind.WORK,
        "foxlift/director/core.py",
        "`zone_evidence`",
        "all servers are gone over for each zone",
        _scan("sights of zones, over servers", CONTROL, "servers"),
        LISTED,
        "each second",
        mend="an index by zone",
    ),
    Finding(
        Kind.WORK,
        "foxlift/director/cluster/host.py",
        "`node`",
        "all servers are searched for one name, for each takeover and each routed request",
        worked_out=f"{READ}; one comparison a server",
        mend="an index by name",
    ),
    Finding(
        Kind.WORK,
        "foxlift/zones/agreement.py",
        "`_gossip`",
        "all names are sorted to draw three",
        _scan("telling a plan on", CONTROL, "directors"),
        DIRECTORS,
        "five times a second while a plan is new, then each two seconds",
        mend="**mended** for old plans: five times a second before; left: sort when the view changes",
    ),
    Finding(
        Kind.WORK,
        "foxlift/zones/evidence.py",
        "`assess`",
        "all reports are judged anew, at the maker that proposes",
        _scan("judgement of nine zones", PLAN_MAKERS, "directors"),
        DIRECTORS,
        "twice a second",
        mend="**mended** for the other makers, who judged too; left: one report a zone",
    ),
    Finding(
        Kind.WORK,
        "foxlift/peers/view.py",
        "`_next_target`",
        "all peers are gone over for those that are absent",
        _scan("choice of whom to probe", CONTROL, "directors"),
        DIRECTORS,
        "twice a second",
        mend="keep the absent apart",
    ),
    Finding(
        Kind.WORK,
        "foxlift/peers/view.py",
        "`_updates`",
        "all that is to be told is sorted for each message; after a start that is every peer's first word",
        _scan("answer to a probe while all first words are news", CONTROL, "directors"),
        DIRECTORS,
        "each message, minutes after a start",
        mend="a queue by how often each was told",
    ),
    Finding(
        Kind.WORK,
        "foxlift/consensus/rendezvous.py",
        "`replicas_of`",
        "all names are hashed and sorted for one claim",
        _scan("place of a claim's register", REGISTER_HOLDERS, "directors"),
        DIRECTORS,
        "each paid set-up, each request passed on",
        mend="take the largest five; a ring or a table by zone",
    ),
    Finding(
        Kind.WORK,
        "foxlift/consensus/replica.py",
        "`_delete_expired`",
        "all registers are searched for those that are over",
        _scan("scan for registers that are over", REGISTER_HOLDERS, "registers"),
        REGISTERS,
        "each eleven seconds",
        mend="a heap by end, as `decide/token_sessions.py` has",
    ),
    Finding(
        Kind.WORK,
        "foxlift/recovery/register_store.py",
        "`_encode_all`",
        "all registers are encoded on the loop when the file is written anew",
        _scan("rewriting the registers' file", REGISTER_HOLDERS, "registers"),
        REGISTERS,
        "each time the file is four times too long",
        mend="in parts, off the loop",
    ),
    Finding(
        Kind.WORK,
        "foxlift/ledger/account.py",
        "`Alive` in `apply`",
        "all open sessions are marked as alive",
        _scan("sign of life in the ledger", CONTROL, "sessions"),
        CONNECTIONS,
        "each two seconds",
        mend="one moment for all, applied at the end",
    ),
    Finding(
        Kind.WORK,
        "foxlift/store/segments.py",
        "`read_log`",
        "a whole segment is read and checked for one batch, twice (hash, then bytes)",
        _scan("reading one batch of 1,000 records", LEDGER_EXPORT, "records in the segment"),
        64_000,
        "twice each five seconds",
        mend="remember the offset; keep the bytes between the two",
    ),
    Finding(
        Kind.WORK,
        "foxlift/recovery/disk_check.py",
        "`_query`",
        "a start asks every peer at once which run it knows; each answer waits for a write to disk there",
        worked_out="{{worked:hellos_per_start}} a start, {{worked:hellos_per_s}} over the fleet on an "
        "ordinary day",
        mend="ask a stated few, or keep runs at the control machines",
    ),
)

_NAMES = (
    Finding(
        Kind.NAMES,
        "foxlift/config/settings.py",
        "`PeersConfig.others`, `former`, `makers`",
        "every director's file names every other with its address; a replaced one is a change of all files",
        _scan("settings lines that name the peers", CONFIGURATION, "directors"),
        DIRECTORS,
        "6,100 times a day",
        mend="names through configuration's carrier; seeds and gossip inside a zone",
    ),
    Finding(
        Kind.NAMES,
        "foxlift/peers/view.py",
        "`Reconfigured`",
        "nothing in the program sends this event: the names hold for the life of the process",
        worked_out=f"{READ}; a change of names is a restart of all",
        mend="a reload that tells it",
    ),
    Finding(
        Kind.NAMES,
        "foxlift/platform/transport.py",
        "`reload`",
        "a changed file is taken over for the coordinator's address alone; all else waits for a restart",
        worked_out=READ,
        mend="versioned settings, applied while serving",
    ),
)

_WHOLE = (
    Finding(
        Kind.WHOLE,
        "foxlift/membership/watch.py",
        "`CacheList`",
        "each change of the list encodes all of it for the disk, on the loop; the write and its sync are "
        "waited for there too (not in this figure)",
        _scan("one change of the list", DISCOVERY, "servers"),
        LISTED,
        "each change of a server",
        mend="write at most each few seconds, off the loop, or append changes",
    ),
    Finding(
        Kind.WHOLE,
        "foxlift/membership/boxlist.py",
        "`read_response`",
        "a start reads the whole list, though the disk has one with its version",
        _scan("reading the whole list", DISCOVERY, "servers"),
        LISTED,
        "each start, each list that cannot be read",
        mend="ask for changes since the cached version",
    ),
    Finding(
        Kind.WHOLE,
        "foxlift/membership/boxlist.py",
        "`encode_full`",
        "every director is told every server, also those of zones that it never uses",
        _scan("the list as it is sent and kept", DISCOVERY, "servers"),
        LISTED,
        "each start",
        mend="lists by zone; subsets",
    ),
    Finding(
        Kind.WHOLE,
        "foxlift/director/core.py",
        "`UpdateListedBoxes` in `_list_changed`",
        "each change of a server hands all names on, and takeovers are planned from what differs (as above)",
        _scan("plan of takeovers after one change, 1,000 directors, 1 dead", CONTROL, "servers"),
        LISTED,
        "each change of a server",
        mend="hand the change on",
    ),
    Finding(
        Kind.WHOLE,
        "foxlift/platform/discovery_watch.py",
        "`DiscoveryWatch`",
        "the platform's list comes whole at a start without one, after three misread feeds, else as changes",
        _scan("the platform's list as it is sent", DISCOVERY, "servers"),
        LISTED,
        "few starts: the configuration holds what was told before",
        mend="none needed",
    ),
)

FINDINGS: tuple[Finding, ...] = (*_BOUNDS, *_GROWS, *_WORK, *_NAMES, *_WHOLE)
