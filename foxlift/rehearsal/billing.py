"""Compares the merged ledgers of a day with the use that the recorded traffic shows.

Of the traffic only the boxes' answers and notices count, with the times that they state. The ledgers are read
after the day from each director's state folder. Every attempt that a box confirmed must be charged once in
all ledgers together; every session whose end its director saw must have the same milliseconds on both sides.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from foxlift.ledger import Account, read_records
from foxlift.ledger.export import read_lines
from foxlift.ledger.reconcile import Reconciler
from foxlift.ledger.records import Closed, Opened, Turned
from foxlift.standins.checker import Checker
from foxlift.standins.checker.messages import Exchange
from foxlift.store import DiskFiles


@dataclass
class Billing:
    """The result of the comparison; without `differences` both sides agree."""

    attempts: int = 0
    attempts_estimated: int = 0
    attempts_on_taps: int = 0
    sessions: int = 0
    sessions_estimated: int = 0
    unrecorded: int = 0  # free sessions whose director died before their record was on the disk: not charged
    ms: int = 0
    ms_on_taps: int = 0
    exported: int = 0
    differences: list[str] = field(default_factory=list)


@dataclass
class _Interval:
    """A session in the ledger of one director; without an end it is still open there."""

    begin: int
    end: int | None = None
    estimated: bool = False


@dataclass
class TapUse:
    """Use by the recorded traffic: times by set-up, and the tokens of paid set-ups that a box confirmed.

    A set-up that was parked and resumed began and ended several times.
    """

    began: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))
    ended: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))
    taken: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))  # changed its owner
    turned: dict[str, set[int]] = field(default_factory=dict)  # rung changes that a box reported
    paid: dict[str, str] = field(default_factory=dict)  # set-up to token
    sent: set[str] = field(default_factory=set)  # tokens of paid set-ups that were sent, whatever the answer


def use_on_taps(checker: Checker) -> TapUse:
    """Use by the boxes' answers to set-ups and takeovers, and by their notices."""
    use = TapUse()
    for exchange in checker.exchanges:
        if not exchange.connection.tap.startswith("box:"):
            continue
        if exchange.target == "/takeovers":
            _add_takeover(use, exchange)
        elif exchange.method == "PUT":
            _add_set_up(use, exchange)
    for connection in checker.connections.values():
        if connection.tap.startswith("box:"):
            _add_notices(use, bytes(connection.down.data))
    return use


def _add_takeover(use: TapUse, exchange: Exchange) -> None:
    if exchange.status != 200 or exchange.answer is None or not exchange.answer.whole:
        return
    answer = json.loads(exchange.answer.body)
    for held in (*answer["sessions"], *answer["gone"]):
        ended = held.get("by") == ""  # reported to its owner's next run, as nobody received the notice
        (use.ended if ended else use.taken)[held["set-up"]].add(held["at"])
    use.paid.update((held["set-up"], held["claim"]) for held in answer["sessions"] if held["paid"])


def _add_set_up(use: TapUse, exchange: Exchange) -> None:
    """A set-up, `/sessions/{id}`, or one that is resumed."""
    parts = exchange.target.split("/")
    resumed = len(parts) == 4 and parts[3] == "resume"
    if len(parts) != 3 and not resumed:
        return
    order = json.loads(exchange.asked.body)
    paid = not resumed and order["paid"]
    if paid:
        use.sent.add(order["claim"])
    if exchange.status in (200, 201) and exchange.answer is not None and exchange.answer.whole:
        use.began[parts[2]].add(json.loads(exchange.answer.body)["at"])
        if paid:
            use.paid[parts[2]] = order["claim"]


def _add_notices(use: TapUse, data: bytes) -> None:
    for notice in _notices(data, "ended"):
        use.ended[notice["session"]].add(notice["at"])
    for notice in _notices(data, "hello"):
        for ended in notice.get("ended", ()):
            use.ended[ended["session"]].add(ended["at"])
    for notice in _notices(data, "rung"):
        use.turned.setdefault(notice["session"], set()).add(notice["at"])
    for notice in _notices(data, "taken"):
        for set_up in notice["sessions"]:
            use.taken[set_up].add(notice["at"])


def _notices(data: bytes, event: str) -> Iterator[dict[str, Any]]:
    """The notices of one kind in what a connection carried to a director."""
    for part in data.split(f"event: {event}\ndata: ".encode())[1:]:
        yield json.loads(part.split(b"\n", 1)[0])


def compare_ledgers(checker: Checker, states: list[Path]) -> Billing:
    """Compare the recorded traffic with the ledgers in these state folders.

    Raises LogError if a ledger cannot be read.
    """
    use = use_on_taps(checker)
    billing = Billing(attempts_on_taps=len(set(use.paid.values())))
    played: dict[str, list[_Interval]] = defaultdict(list)
    turned: dict[str, int] = {}
    charged: dict[str, bool] = {}

    async def read() -> None:
        with tempfile.TemporaryDirectory() as folder:
            merger = Reconciler(Path(folder))
            for state in states:
                files = DiskFiles(state, asyncio.get_running_loop())
                records = [(number, linked.record) for number, linked in read_records(files)]
                files.close()
                merger.add(state.name, records)
                account = Account(on_charge=lambda _, token, __, ___, sure: charged.update({token: sure}))
                open_here: dict[str, _Interval] = {}
                for _, record in records:
                    account.apply(record)
                    if isinstance(record, Opened):
                        open_here[record.session] = _Interval(record.when)
                        played[record.session].append(open_here[record.session])
                    elif isinstance(record, Closed) and record.session in open_here:
                        found = open_here.pop(record.session)
                        found.end, found.estimated = record.when, record.estimated
                    elif isinstance(record, Turned):
                        turned[record.session] = max(record.when, turned.get(record.session, 0))
            merged = merger.finish()
            billing.attempts = sum(total.attempts for total in merged.totals.values())
            billing.attempts_estimated = sum(total.attempts_estimated for total in merged.totals.values())
            billing.ms = sum(total.ms - total.ms_estimated for total in merged.totals.values())

    asyncio.run(read())
    _compare_attempts(billing, use, charged)
    _compare_sessions(billing, use, played, turned)
    return billing


def check_exports(billing: Billing, pairs: list[tuple[Path, Path]]) -> None:
    """Check that each director exported records of its ledger, each once and without a gap."""

    async def read(state: Path) -> dict[int, str]:
        files = DiskFiles(state, asyncio.get_running_loop())
        chains = {number: linked.chain for number, linked in read_records(files)}
        files.close()
        return chains

    for state, drop in pairs:
        chains = asyncio.run(read(state))
        paths = sorted(drop.glob("*.jsonl"))
        rows = [row for path in paths for row in read_lines(path.read_bytes())]
        numbers = [number for number, _ in rows]
        billing.exported += len(rows)
        if numbers != list(range(1, len(rows) + 1)):
            billing.differences.append(f"{drop.name}: exported records are not 1 to {len(rows)}, each once")
        for number, linked in rows:
            if chains.get(number) != linked.chain:
                billing.differences.append(f"{drop.name}: record {number} is not the ledger's")
                break


def _compare_attempts(billing: Billing, use: TapUse, charged: dict[str, bool]) -> None:
    if billing.attempts != len(charged):
        billing.differences.append(f"{billing.attempts} attempts merged, {len(charged)} tokens charged")
    for token in sorted(set(use.paid.values()) - set(charged)):
        billing.differences.append(f"{token}: confirmed by a box and never charged")
    certain = {token for token, estimated in charged.items() if not estimated}
    for token in sorted(certain - set(use.paid.values())):
        billing.differences.append(f"{token}: charged as certain, and no box confirmed it")


def _owners_intervals(use: TapUse, set_up: str, known: set[int]) -> tuple[list[int], list[int]]:
    """Begins and ends of a session that changed owners: one owner's interval ends where the next begins.

    An owner may have died before its record was on the disk: what no ledger began is not compared.
    """
    moments = use.taken[set_up]
    begins = sorted((use.began[set_up] | moments) & known)
    over = use.ended[set_up]
    ends = [{at for at in moments if at > begin} | {at for at in over if at >= begin} for begin in begins]
    return begins, [min(found, default=-1) for found in ends]


def _compare_sessions(
    billing: Billing, use: TapUse, played: dict[str, list[_Interval]], turned: dict[str, int]
) -> None:
    billing.sessions = len(played)
    billing.unrecorded = sum(1 for set_up in use.began if set_up not in played and set_up not in use.paid)
    certain_ms = 0
    for set_up, intervals in played.items():
        intervals.sort(key=lambda interval: interval.begin)
        begins, over = sorted(use.began.get(set_up, ())), sorted(use.ended.get(set_up, ()))
        if set_up in use.taken:
            begins, over = _owners_intervals(use, set_up, {interval.begin for interval in intervals})
        for k, interval in enumerate(intervals):
            if interval.end is None or interval.estimated:
                billing.sessions_estimated += 1
                # its rungs before the last change were recorded: up to that change its play is certain
                last = turned.get(set_up, 0)
                if last > interval.begin and set_up not in use.taken:
                    if last not in use.turned.get(set_up, ()):
                        billing.differences.append(f"{set_up}: a rung in the ledger that no box told")
                    certain_ms += max(last - interval.begin, 0)
                continue
            in_ledger = max(interval.end - interval.begin, 0)
            certain_ms += in_ledger
            if k >= len(begins) or k >= len(over) or over[k] < 0:
                billing.differences.append(f"{set_up}: in a ledger as seen, and not on the sockets")
                continue
            on_taps = max(over[k] - begins[k], 0)
            billing.ms_on_taps += on_taps
            if on_taps != in_ledger:
                both = f"{in_ledger} ms in the ledger, {on_taps} on the sockets"
                billing.differences.append(f"{set_up}: {both}")
    if certain_ms != billing.ms and not use.taken:
        billing.differences.append(f"{billing.ms} ms charged as certain, {certain_ms} seen on the sockets")
