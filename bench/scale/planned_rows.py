"""The rows of the capacity page, at the planned size."""

from __future__ import annotations

from bench.scale.capacity_rows import Quantity, Row, SeriesTerm, WorkedOutTerm
from bench.scale.curves import SeriesName
from bench.scale.planned_size import BUDGET, PLANNED
from bench.scale.scan import (
    CONFIGURATION,
    CONTROL,
    DATA_PATH,
    DISCOVERY,
    LEDGER_EXPORT,
    PLAN_MAKERS,
    REGISTER_HOLDERS,
)
from bench.scale.worked_out import HOLDERS, MAKERS, export_records_per_s, hellos_per_s

ROLES = (DATA_PATH, CONTROL, DISCOVERY, REGISTER_HOLDERS, PLAN_MAKERS, CONFIGURATION, LEDGER_EXPORT)

DIRECTORS = PLANNED.directors
CONNECTIONS = PLANNED.connections_per_director
DELIVERIES = PLANNED.deliveries_per_director_s
ZONE = PLANNED.directors_per_zone
REGION = PLANNED.directors_per_region
REGISTERS = round(PLANNED.connections * HOLDERS / DIRECTORS)
VIEW_CHANGES_PER_S = 2 * PLANNED.restarts_per_s
"""A restart is two changes of each other director's view: it leaves, and it is back."""
LISTED = 1_000
"""The plan does not say how many servers there are: rows that grow by them are for so many."""

PERCENT_OF_SECONDS = 100.0
PERCENT_OF_MS = 0.1
MB = 1e-6
KB = 1e-3
PER_HOUR = 1 / 3_600
ONE_CORE = 100.0
ONE_CORE_WORDS = "one core: one process, one loop"
DELIVERY_WORDS = "a delivery's whole time"
CONTROL_WORDS = "control's share"

PLATFORM_PROCESS, PLATFORM_CORE = "platform director, process", "platform director, core and module"
MEMBER, MAKER, HOLDER = "member", "plan maker", "register holder"
CLAIMANT, SOURCE = "claimant", "discovery source"
REPORTS_PER_S, SIGNS_OF_LIFE_PER_S, LOOKS_PER_S = 1, 0.5, 10


def _scan(what: str, role: str, size_unit: str) -> SeriesName:
    return SeriesName(what, role, size_unit, "in process")


def _process(what: str, size_unit: str) -> SeriesName:
    return SeriesName(what, PLATFORM_PROCESS, size_unit, "loopback")


def _virtual(what: str, role: str = MEMBER) -> SeriesName:
    return SeriesName(what, role, "directors", "virtual")


def _in_process(what: str, role: str, size_unit: str = "directors") -> SeriesName:
    return SeriesName(what, role, size_unit, "in process")


def _loopback(what: str, role: str) -> SeriesName:
    return SeriesName(what, role, "directors", "loopback")


TAKEOVER_PLAN = _scan("plan of takeovers after one change, 100 servers, 1 dead", CONTROL, "directors")
TAKEOVER_PLAN_WHILE_DEAD = _scan(
    "plan of takeovers after one change, 4,200 directors, 100 servers", CONTROL, "dead directors"
)
TAKEOVER_PLANS = _scan(
    "plans of takeovers of deaths one after another, 4,200 directors, 100 servers", CONTROL, "dead directors"
)
HEARD_SINCE = _scan("memory of whom half of the fleet was heard since a death", CONTROL, "dead directors")
TELLING = _in_process("processor of looking who is there and telling the plan", MEMBER)
MEMBERSHIP_BYTES = _virtual("membership bytes sent by the busiest, quiet")
REPORTS_SENT = _in_process("reports sent to makers, bytes", MEMBER)
PLAN_TOLD = _in_process("new plan told on, bytes", MEMBER)
SIGHTS = _scan("sights of zones, over sessions", CONTROL, "sessions")
SIGN_OF_LIFE = _scan("sign of life in the ledger", CONTROL, "sessions")
JUDGING = _in_process("processor of judging zones", MAKER)
READING_BATCH = _scan("reading one batch of 1,000 records", LEDGER_EXPORT, "records in the segment")
VIEW_PROCESSOR = _virtual("membership view processor, quiet")
FULL_SEGMENT = 64_000
"""Records in a segment of 16 MB."""

_DATA_PATH = (
    Row(
        "sessions",
        DATA_PATH,
        Quantity.STATE,
        "viewer connections, each with a standing session",
        "connections",
        (WorkedOutTerm(CONNECTIONS, "the plan's mean"),),
    ),
    Row(
        "deliveries",
        DATA_PATH,
        Quantity.MESSAGES,
        "deliveries",
        "/s",
        (WorkedOutTerm(DELIVERIES, "the plan's mean"),),
    ),
    *(
        Row(
            f"deliveries_{name}",
            DATA_PATH,
            Quantity.PROCESSOR,
            f"all deliveries, were each a {words}",
            "% of a core",
            (
                SeriesTerm(
                    _process(f"processor time of a {words}", plural),
                    DELIVERIES,
                    PERCENT_OF_SECONDS,
                    per_unit=True,
                ),
            ),
            ONE_CORE,
            ONE_CORE_WORDS,
        )
        for name, words, plural in (
            ("reports", "report of a link", "reports"),
            ("notes", "note of delivery", "notes"),
            ("releases", "release by a server", "releases"),
        )
    ),
    *(
        Row(
            f"deliveries_{name}_in_process",
            DATA_PATH,
            Quantity.PROCESSOR,
            f"the same in codecs, core and module alone, were each a {words}",
            "% of a core",
            (
                SeriesTerm(
                    _in_process(f"processor time of a {words}", PLATFORM_CORE, plural),
                    DELIVERIES,
                    PERCENT_OF_SECONDS,
                    per_unit=True,
                ),
            ),
            ONE_CORE,
            ONE_CORE_WORDS,
        )
        for name, words, plural in (
            ("reports", "report of a link", "reports"),
            ("notes", "note of delivery", "notes"),
        )
    ),
    *(
        Row(
            f"delay_{percent}",
            DATA_PATH,
            Quantity.MESSAGES,
            f"delay of a set-up, 99 in 100, at a load of {percent}% of a core",
            "ms",
            (
                SeriesTerm(
                    SeriesName("delay of a set-up, 99%", PLATFORM_PROCESS, "% of a core wanted", "loopback"),
                    percent,
                ),
            ),
            PLANNED.delivery_within_ms,
            DELIVERY_WORDS,
        )
        for percent in (50, 80, 95)
    ),
    Row(
        "set_ups",
        DATA_PATH,
        Quantity.PROCESSOR,
        "1,000 set-ups a second (the plan does not say how many)",
        "% of a core",
        (
            SeriesTerm(
                _process("processor time of a set-up", "set-ups"), 1_000, PERCENT_OF_SECONDS, per_unit=True
            ),
        ),
        ONE_CORE,
        ONE_CORE_WORDS,
    ),
    Row(
        "idle_connections",
        DATA_PATH,
        Quantity.PROCESSOR,
        "connections on which nothing comes",
        "% of a core",
        (
            SeriesTerm(
                _process("processor time of an hour without messages", "connections"),
                CONNECTIONS,
                PERCENT_OF_SECONDS * PER_HOUR,
                per_unit=True,
            ),
        ),
        ONE_CORE,
        ONE_CORE_WORDS,
    ),
    Row(
        "unsent",
        DATA_PATH,
        Quantity.PROCESSOR,
        "look at what is unsent, ten times a second while stopping (stand-in transports)",
        "% of a core",
        (
            SeriesTerm(
                _scan("look at what is unsent", DATA_PATH, "connections"),
                CONNECTIONS,
                LOOKS_PER_S * PERCENT_OF_MS,
            ),
        ),
        ONE_CORE,
        ONE_CORE_WORDS,
    ),
    Row(
        "lost_connection",
        DATA_PATH,
        Quantity.PROCESSOR,
        "pause of the loop when a connection to a server ends",
        "ms",
        (SeriesTerm(_scan("loss of one connection to a server", DATA_PATH, "sessions"), CONNECTIONS),),
        PLANNED.delivery_within_ms,
        DELIVERY_WORDS,
    ),
    Row(
        "full_link",
        DATA_PATH,
        Quantity.PROCESSOR,
        "pause of the loop at one report of a full link with 800 sessions",
        "ms",
        (SeriesTerm(_scan("report of a full link", DATA_PATH, "sessions on the link"), 800),),
        PLANNED.delivery_within_ms,
        DELIVERY_WORDS,
    ),
    Row(
        "full_rack",
        DATA_PATH,
        Quantity.PROCESSOR,
        "pause of the loop at one report of a full link or uplink with 4,000 sessions",
        "ms",
        (SeriesTerm(_scan("report of a full link", DATA_PATH, "sessions on the link"), 4_000),),
        PLANNED.delivery_within_ms,
        DELIVERY_WORDS,
    ),
    Row(
        "data_path_memory",
        DATA_PATH,
        Quantity.MEMORY,
        "connections and their standing sessions, resident set",
        "MB",
        (
            SeriesTerm(
                _process("memory of a viewer connection, resident set", "connections"),
                CONNECTIONS,
                MB,
                per_unit=True,
            ),
            SeriesTerm(
                _process("memory of a standing session, resident set", "sessions"),
                CONNECTIONS,
                MB,
                per_unit=True,
            ),
        ),
    ),
)

_CONTROL = (
    Row(
        "view",
        CONTROL,
        Quantity.STATE,
        "peers in the view, and in the settings file",
        "peers",
        (WorkedOutTerm(DIRECTORS - 1, "all others, one flat view"),),
    ),
    Row(
        "membership_messages",
        CONTROL,
        Quantity.MESSAGES,
        "membership, quiet, the busiest director",
        "/s",
        (SeriesTerm(_virtual("membership messages sent by the busiest, quiet"), DIRECTORS),),
    ),
    Row(
        "membership_traffic",
        CONTROL,
        Quantity.MESSAGES,
        "membership, quiet, the busiest director",
        "KB/s",
        (SeriesTerm(MEMBERSHIP_BYTES, DIRECTORS, KB),),
        BUDGET.traffic_kb_per_s,
        CONTROL_WORDS,
    ),
    Row(
        "membership_restarts",
        CONTROL,
        Quantity.MESSAGES,
        "membership, 20 times an ordinary day's restarts, the busiest director",
        "KB/s",
        (
            SeriesTerm(
                _virtual("membership bytes sent by the busiest, 20 times an ordinary day's restarts"),
                DIRECTORS,
                KB,
            ),
        ),
        BUDGET.traffic_kb_per_s,
        CONTROL_WORDS,
    ),
    Row(
        "reports_sent",
        CONTROL,
        Quantity.MESSAGES,
        f"reports to {MAKERS} makers each second, nine zones",
        "KB/s",
        (SeriesTerm(REPORTS_SENT, DIRECTORS, KB),),
        BUDGET.traffic_kb_per_s,
        CONTROL_WORDS,
    ),
    Row(
        "plan_told",
        CONTROL,
        Quantity.MESSAGES,
        "a new plan told on",
        "KB/s",
        (SeriesTerm(PLAN_TOLD, DIRECTORS, KB),),
        BUDGET.traffic_kb_per_s,
        CONTROL_WORDS,
    ),
    Row(
        "control_traffic",
        CONTROL,
        Quantity.MESSAGES,
        "membership (quiet, busiest), reports and a new plan together",
        "KB/s",
        (
            SeriesTerm(MEMBERSHIP_BYTES, DIRECTORS, KB),
            SeriesTerm(REPORTS_SENT, DIRECTORS, KB),
            SeriesTerm(PLAN_TOLD, DIRECTORS, KB),
        ),
        BUDGET.traffic_kb_per_s,
        CONTROL_WORDS,
    ),
    Row(
        "death_known",
        CONTROL,
        Quantity.MESSAGES,
        "time until one death is known to all",
        "s",
        (SeriesTerm(_virtual("one death known to all"), DIRECTORS),),
    ),
    Row(
        "deaths_known",
        CONTROL,
        Quantity.MESSAGES,
        "time until the last of one in 100 deaths at once is known to all",
        "s",
        (SeriesTerm(_virtual("last death as one in 100 dies known to all"), DIRECTORS),),
    ),
    Row(
        "join_known",
        CONTROL,
        Quantity.MESSAGES,
        "time until a join is known to all",
        "s",
        (SeriesTerm(_virtual("a join known to all"), DIRECTORS),),
    ),
    Row(
        "peers_known",
        CONTROL,
        Quantity.STATE,
        "share of its peers that a restarted director knows after 60 s, fleet of 1,000",
        "",
        (SeriesTerm(_virtual("peers that a restarted director knows after 60 s"), 1_000),),
    ),
    Row(
        "hellos",
        CONTROL,
        Quantity.MESSAGES,
        "hellos of starting directors over the fleet, an ordinary day",
        "/s",
        (WorkedOutTerm(hellos_per_s(), "each start asks all peers; each answer waits for a disk"),),
    ),
    Row(
        "view_processor",
        CONTROL,
        Quantity.PROCESSOR,
        "membership view, quiet",
        "% of a core",
        (SeriesTerm(VIEW_PROCESSOR, DIRECTORS, PERCENT_OF_SECONDS),),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "telling",
        CONTROL,
        Quantity.PROCESSOR,
        "looking who is there and telling a plan on (all names are sorted five times a second)",
        "% of a core",
        (SeriesTerm(TELLING, DIRECTORS, PERCENT_OF_SECONDS),),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "sights",
        CONTROL,
        Quantity.PROCESSOR,
        "sights of zones each second, over all sessions",
        "% of a core",
        (SeriesTerm(SIGHTS, CONNECTIONS, REPORTS_PER_S * PERCENT_OF_MS),),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "daemon_processor",
        CONTROL,
        Quantity.PROCESSOR,
        "a whole `foxlift serve` without viewers, quiet, fleet of 24",
        "% of a core",
        (SeriesTerm(_loopback("daemon: processor without viewers, quiet", MEMBER), 24, PERCENT_OF_SECONDS),),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "takeover_plan",
        CONTROL,
        Quantity.PROCESSOR,
        "pause of the loop at each change of the view: plan of takeovers, 100 servers, 1 dead",
        "ms",
        (SeriesTerm(TAKEOVER_PLAN, DIRECTORS),),
        PLANNED.delivery_within_ms,
        DELIVERY_WORDS,
    ),
    Row(
        "takeover_plan_day",
        CONTROL,
        Quantity.PROCESSOR,
        "plan of takeovers over an ordinary day, 100 servers, one director dead at any time",
        "% of a core",
        (SeriesTerm(TAKEOVER_PLAN, DIRECTORS, VIEW_CHANGES_PER_S * PERCENT_OF_MS),),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "takeover_plan_zone",
        CONTROL,
        Quantity.PROCESSOR,
        f"pause of the loop at one change while a zone's {ZONE} directors are dead, 100 servers",
        "s",
        (SeriesTerm(TAKEOVER_PLAN_WHILE_DEAD, ZONE, 1 / 1000),),
        PLANNED.delivery_within_ms / 1000,
        DELIVERY_WORDS,
    ),
    Row(
        "takeover_plan_zone_sum",
        CONTROL,
        Quantity.PROCESSOR,
        f"the same, all {ZONE} changes of a zone's loss one after another",
        "s",
        (SeriesTerm(TAKEOVER_PLANS, ZONE, 1 / 1000),),
    ),
    Row(
        "takeover_plan_region_sum",
        CONTROL,
        Quantity.PROCESSOR,
        f"the same, all {REGION:,} changes of a region that is cut off",
        "s",
        (SeriesTerm(TAKEOVER_PLANS, REGION, 1 / 1000),),
    ),
    Row(
        "control_processor",
        CONTROL,
        Quantity.PROCESSOR,
        "view, plan of takeovers, tellings, sights and the ledger's signs of life together, an ordinary day",
        "% of a core",
        (
            SeriesTerm(VIEW_PROCESSOR, DIRECTORS, PERCENT_OF_SECONDS),
            SeriesTerm(TAKEOVER_PLAN, DIRECTORS, VIEW_CHANGES_PER_S * PERCENT_OF_MS),
            SeriesTerm(TELLING, DIRECTORS, PERCENT_OF_SECONDS),
            SeriesTerm(SIGHTS, CONNECTIONS, REPORTS_PER_S * PERCENT_OF_MS),
            SeriesTerm(SIGN_OF_LIFE, CONNECTIONS, SIGNS_OF_LIFE_PER_S * PERCENT_OF_MS),
        ),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "view_memory",
        CONTROL,
        Quantity.MEMORY,
        "membership view",
        "MB",
        (SeriesTerm(_virtual("membership view memory"), DIRECTORS, MB),),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
    Row(
        "daemon_memory",
        CONTROL,
        Quantity.MEMORY,
        "a whole `foxlift serve` without viewers, fleet of 24",
        "MB",
        (SeriesTerm(_loopback("daemon: memory without viewers", MEMBER), 24, MB),),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
    Row(
        "heard_zone",
        CONTROL,
        Quantity.MEMORY,
        f"whom was heard of since {ZONE} deaths (a zone)",
        "MB",
        (SeriesTerm(HEARD_SINCE, ZONE, MB),),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
    Row(
        "control_memory",
        CONTROL,
        Quantity.MEMORY,
        "that daemon, the view of 4,199 peers and whom was heard of since a zone's loss together",
        "MB",
        (
            SeriesTerm(_loopback("daemon: memory without viewers", MEMBER), 24, MB),
            SeriesTerm(_virtual("membership view memory"), DIRECTORS, MB),
            SeriesTerm(HEARD_SINCE, ZONE, MB),
        ),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
    Row(
        "heard_region",
        CONTROL,
        Quantity.MEMORY,
        f"whom was heard of since {REGION:,} deaths (a region that is cut off)",
        "MB",
        (SeriesTerm(HEARD_SINCE, REGION, MB),),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
)

_DISCOVERY = (
    Row(
        "list_json",
        DISCOVERY,
        Quantity.STATE,
        f"the JSON list of {LISTED:,} servers, at the source and at each director",
        "KB",
        (SeriesTerm(_scan("the list as it is sent and kept", DISCOVERY, "servers"), LISTED, KB),),
    ),
    Row(
        "list_frame",
        DISCOVERY,
        Quantity.STATE,
        f"the platform's list of {LISTED:,} servers",
        "KB",
        (SeriesTerm(_scan("the platform's list as it is sent", DISCOVERY, "servers"), LISTED, KB),),
    ),
    Row(
        "watches",
        DISCOVERY,
        Quantity.MESSAGES,
        "watches held open at the source",
        "connections",
        (WorkedOutTerm(DIRECTORS, "one a director"),),
    ),
    Row(
        "list_all_start",
        DISCOVERY,
        Quantity.MESSAGES,
        f"all directors start at once: whole JSON lists of {LISTED:,} servers out of the source",
        "MB",
        (SeriesTerm(_scan("the list as it is sent and kept", DISCOVERY, "servers"), LISTED, DIRECTORS * MB),),
    ),
    Row(
        "list_restarts",
        DISCOVERY,
        Quantity.MESSAGES,
        f"an ordinary day's restarts: the same for {LISTED:,} servers",
        "KB/s",
        (
            SeriesTerm(
                _scan("the list as it is sent and kept", DISCOVERY, "servers"),
                LISTED,
                PLANNED.restarts_per_s * KB,
            ),
        ),
    ),
    Row(
        "list_change_out",
        DISCOVERY,
        Quantity.MESSAGES,
        "one server's change out of the source to all watches",
        "KB",
        (SeriesTerm(_loopback("source: bytes of one server's change", SOURCE), DIRECTORS, KB),),
    ),
    Row(
        "list_change_held",
        DISCOVERY,
        Quantity.MESSAGES,
        "time until one server's change is held by all watches of one source",
        "s",
        (SeriesTerm(_loopback("one server's change held by all watches", SOURCE), DIRECTORS),),
    ),
    Row(
        "heartbeats",
        DISCOVERY,
        Quantity.MESSAGES,
        "empty frames out of the source each second",
        "KB/s",
        (SeriesTerm(_loopback("source: bytes of empty frames", SOURCE), DIRECTORS, KB),),
    ),
    Row(
        "list_change",
        DISCOVERY,
        Quantity.PROCESSOR,
        f"one change at a director with {LISTED:,} servers: the whole list is written out again",
        "ms",
        (SeriesTerm(_scan("one change of the list", DISCOVERY, "servers"), LISTED),),
    ),
    Row(
        "list_read",
        DISCOVERY,
        Quantity.PROCESSOR,
        f"reading the whole JSON list of {LISTED:,} servers",
        "ms",
        (SeriesTerm(_scan("reading the whole list", DISCOVERY, "servers"), LISTED),),
        PLANNED.delivery_within_ms,
        DELIVERY_WORDS,
    ),
    Row(
        "list_memory",
        DISCOVERY,
        Quantity.MEMORY,
        f"a director's list of {LISTED:,} servers",
        "MB",
        (SeriesTerm(_in_process("memory of the list", MEMBER, "servers"), LISTED, MB),),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
)

_REGISTERS = (
    Row(
        "registers",
        REGISTER_HOLDERS,
        Quantity.STATE,
        "registers held by one director, were every session paid",
        "registers",
        (WorkedOutTerm(REGISTERS, f"{HOLDERS} holders for each connection's token"),),
        1_000_000,
        "`MOST_KEYS`",
    ),
    Row(
        "claim_messages",
        REGISTER_HOLDERS,
        Quantity.MESSAGES,
        "messages of one claim, both ways",
        "messages",
        (WorkedOutTerm(4 * HOLDERS, f"two rounds, {HOLDERS} holders, question and answer"),),
    ),
    Row(
        "claim_bytes",
        REGISTER_HOLDERS,
        Quantity.MESSAGES,
        "bytes of one claim, both ways",
        "bytes",
        (SeriesTerm(_in_process("one claim: bytes of claimant and holders", CLAIMANT), HOLDERS),),
    ),
    Row(
        "claim_processor",
        REGISTER_HOLDERS,
        Quantity.PROCESSOR,
        "processor of one claim, claimant and holders, without finding them",
        "ms",
        (SeriesTerm(_in_process("one claim: processor of claimant and holders", CLAIMANT), HOLDERS, 1_000),),
    ),
    Row(
        "claim_place",
        REGISTER_HOLDERS,
        Quantity.PROCESSOR,
        "finding a claim's holders among all names (for each paid set-up)",
        "ms",
        (SeriesTerm(_scan("place of a claim's register", REGISTER_HOLDERS, "directors"), DIRECTORS),),
    ),
    Row(
        "registers_over",
        REGISTER_HOLDERS,
        Quantity.PROCESSOR,
        "pause of the loop each eleven seconds: search for registers that are over, were every session paid",
        "ms",
        (SeriesTerm(_scan("scan for registers that are over", REGISTER_HOLDERS, "registers"), REGISTERS),),
        PLANNED.delivery_within_ms,
        DELIVERY_WORDS,
    ),
    Row(
        "registers_rewritten",
        REGISTER_HOLDERS,
        Quantity.PROCESSOR,
        "pause of the loop when the registers' file is written anew, were every session paid",
        "ms",
        (SeriesTerm(_scan("rewriting the registers' file", REGISTER_HOLDERS, "registers"), REGISTERS),),
        PLANNED.delivery_within_ms,
        DELIVERY_WORDS,
    ),
    Row(
        "registers_memory",
        REGISTER_HOLDERS,
        Quantity.MEMORY,
        "registers held, were every session paid",
        "MB",
        (
            SeriesTerm(
                _in_process("register holder's memory", HOLDER, "claims"), REGISTERS, MB, per_unit=True
            ),
        ),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
)

_MAKERS = (
    Row(
        "reports_held",
        PLAN_MAKERS,
        Quantity.STATE,
        "reports to be held; what is beyond the bound is dropped without a word",
        "reports",
        (WorkedOutTerm(DIRECTORS, "one a director"),),
        4_096,
        "`MOST_REPORTS`",
    ),
    Row(
        "reports_received",
        PLAN_MAKERS,
        Quantity.MESSAGES,
        "reports received, each an HTTP request",
        "/s",
        (WorkedOutTerm(DIRECTORS * REPORTS_PER_S, "one a director and second"),),
    ),
    Row(
        "reports_traffic",
        PLAN_MAKERS,
        Quantity.MESSAGES,
        "reports received, nine zones",
        "KB/s",
        (SeriesTerm(_in_process("reports received, bytes", MAKER), DIRECTORS, KB),),
        BUDGET.traffic_kb_per_s,
        CONTROL_WORDS,
    ),
    Row(
        "plan_followed",
        PLAN_MAKERS,
        Quantity.MESSAGES,
        "time from a zone's loss to the plan followed by all",
        "s",
        (SeriesTerm(_virtual("from a zone's loss to the plan followed by all"), DIRECTORS),),
    ),
    Row(
        "reports_read",
        PLAN_MAKERS,
        Quantity.PROCESSOR,
        "reading reports, HTTP left out",
        "% of a core",
        (SeriesTerm(_in_process("processor of reading reports", MAKER), DIRECTORS, PERCENT_OF_SECONDS),),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "judging",
        PLAN_MAKERS,
        Quantity.PROCESSOR,
        "judging nine zones, twice a second, at the maker that proposes",
        "% of a core",
        (SeriesTerm(JUDGING, DIRECTORS, PERCENT_OF_SECONDS),),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "reports_memory",
        PLAN_MAKERS,
        Quantity.MEMORY,
        "reports held",
        "MB",
        (SeriesTerm(_in_process("memory of reports", MAKER), DIRECTORS, MB),),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
)

TITLES_HELD = 100_000
"""The plan does not say how many titles there are: rows that grow by them are for so many."""
RELAYED = round(PLANNED.directors / PLANNED.control_machines)
IN_FORCE_WORDS = "the plan's time"


def _distribution(what: str) -> SeriesName:
    return SeriesName(what, CONFIGURATION, "directors", "virtual")


def _by_titles(what: str) -> SeriesName:
    return SeriesName(what, CONFIGURATION, "titles", "in process")


_CONFIGURATION = (
    Row(
        "settings_bytes",
        CONFIGURATION,
        Quantity.STATE,
        "lines of each director's settings file that name its peers",
        "KB",
        (SeriesTerm(_scan("settings lines that name the peers", CONFIGURATION, "directors"), DIRECTORS, KB),),
    ),
    Row(
        "titles_held",
        CONFIGURATION,
        Quantity.STATE,
        "titles in the content of each director (the plan does not say how many)",
        "titles",
        (WorkedOutTerm(TITLES_HELD, "taken for this page"),),
    ),
    *(
        Row(
            f"change_{name}",
            CONFIGURATION,
            Quantity.MESSAGES,
            f"longest time until a change is in force at all directors that were up, {words}",
            "s",
            (
                SeriesTerm(
                    _distribution(f"longest time until a change is in force at all, {words}"), DIRECTORS
                ),
            ),
            PLANNED.change_within_s,
            IN_FORCE_WORDS,
        )
        for name, words in (("restarts", "under restarts"), ("zone", "a zone lost and back"))
    ),
    *(
        Row(
            f"change_bytes_{name}",
            CONFIGURATION,
            Quantity.MESSAGES,
            f"the busiest {who}, sent and received, 20 times an ordinary day's restarts",
            "KB/s",
            (SeriesTerm(_distribution(f"bytes of the busiest {who}, under restarts"), DIRECTORS, KB),),
            budget,
            words,
        )
        for name, who, budget, words in (
            ("director", "director", BUDGET.traffic_kb_per_s, CONTROL_WORDS),
            ("relay", "relay", None, ""),
            ("member", "group member", None, ""),
        )
    ),
    Row(
        "change_processor",
        CONFIGURATION,
        Quantity.PROCESSOR,
        f"changes at a director with {TITLES_HELD:,} titles, each a step and its release",
        "% of a core",
        (
            SeriesTerm(
                _by_titles("processor of a change at a director"),
                TITLES_HELD,
                2 * PLANNED.changes_per_s * PERCENT_OF_SECONDS,
            ),
        ),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "change_relay_processor",
        CONFIGURATION,
        Quantity.PROCESSOR,
        f"changes at a relay of {RELAYED} directors",
        "% of a core",
        (
            SeriesTerm(
                SeriesName(
                    "processor of a change at a relay", CONFIGURATION, "directors of a relay", "in process"
                ),
                RELAYED,
                PLANNED.changes_per_s * PERCENT_OF_SECONDS,
            ),
        ),
        ONE_CORE,
        ONE_CORE_WORDS,
    ),
    Row(
        "change_memory",
        CONFIGURATION,
        Quantity.MEMORY,
        f"content of {TITLES_HELD:,} titles at a director",
        "MB",
        (SeriesTerm(_by_titles("memory of the content at a director"), TITLES_HELD, MB),),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
    Row(
        "change_server_memory",
        CONFIGURATION,
        Quantity.MEMORY,
        f"log of a control server, {TITLES_HELD:,} titles and 16,384 entries",
        "MB",
        (SeriesTerm(_by_titles("memory of the log at a control server"), TITLES_HELD, MB),),
    ),
)

_EXPORT = (
    Row(
        "export_records",
        LEDGER_EXPORT,
        Quantity.STATE,
        "records a director can export at most",
        "/s",
        (WorkedOutTerm(export_records_per_s(), "one batch of 1,000 at each tick of five seconds"),),
    ),
    Row(
        "export_batches",
        LEDGER_EXPORT,
        Quantity.MESSAGES,
        "batches that reach the receiver from all directors",
        "/s",
        (WorkedOutTerm(DIRECTORS / 5, "one a director and tick; nothing gathers them"),),
    ),
    Row(
        "export_reading",
        LEDGER_EXPORT,
        Quantity.PROCESSOR,
        "reading a batch twice each five seconds out of a full segment (each time the whole segment is read)",
        "% of a core",
        (SeriesTerm(READING_BATCH, FULL_SEGMENT, 2 / 5 * PERCENT_OF_MS),),
        BUDGET.core_percent,
        CONTROL_WORDS,
    ),
    Row(
        "export_pause",
        LEDGER_EXPORT,
        Quantity.PROCESSOR,
        "pause of the loop at each reading",
        "ms",
        (SeriesTerm(READING_BATCH, FULL_SEGMENT),),
        PLANNED.delivery_within_ms,
        DELIVERY_WORDS,
    ),
    Row(
        "ledger_memory",
        LEDGER_EXPORT,
        Quantity.MEMORY,
        "the ledger's open and charged sessions",
        "MB",
        (
            SeriesTerm(
                _scan("memory of open and charged sessions in the ledger", CONTROL, "sessions"),
                CONNECTIONS,
                MB,
            ),
        ),
        BUDGET.memory_mb,
        CONTROL_WORDS,
    ),
)

ROWS: tuple[Row, ...] = (
    *_DATA_PATH,
    *_CONTROL,
    *_DISCOVERY,
    *_REGISTERS,
    *_MAKERS,
    *_CONFIGURATION,
    *_EXPORT,
)
