"""Holds the merged ledgers of a day against a count made from the taps alone.

The taps' side reads only what was on the sockets: a box's 201 and notices with the times that it stated. The
ledgers' side is read after the day from each director's state folder. Every attempt that a box confirmed must
be charged once in all ledgers together; every session whose end its director saw must have the same
milliseconds on both sides.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from foxlift.ledger import Account, read_records
from foxlift.ledger.export import read_lines
from foxlift.ledger.reconcile import Reconciler
from foxlift.ledger.records import Closed, Opened, Turned
from foxlift.standins.checker import Checker
from foxlift.store import DiskFiles


@dataclass
class Billing:
    """What was found; `differences` is empty where both sides agree."""

    attempts: int = 0
    attempts_estimated: int = 0
    attempts_on_taps: int = 0
    sessions: int = 0
    sessions_estimated: int = 0
    unrecorded: int = 0  # free sessions whose director died before their record lasted: at no charge
    ms: int = 0
    ms_on_taps: int = 0
    exported: int = 0
    differences: list[str] = field(default_factory=list)


@dataclass
class _Interval:
    """A session at one director, as its ledger has it; no end: it is open there still."""

    begin: int
    end: int | None = None
    estimated: bool = False


@dataclass
class TapUse:
    """Use as the sockets show it: by set-up, and the tokens of paid set-ups that a box confirmed.

    A set-up that was parked and taken up again began and ended several times.
    """

    began: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))
    ended: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))
    taken: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))  # changed hands
    turned: dict[str, set[int]] = field(default_factory=dict)  # times at which a box told a rung
    paid: dict[str, str] = field(default_factory=dict)  # set-up to token
    maybe: set[str] = field(default_factory=set)  # tokens of paid set-ups that left, whatever came back


def use_on_taps(checker: Checker) -> TapUse:
    """Count from the traffic: answers to set-ups, and `ended` notices."""
    use = TapUse()
    for exchange in checker.exchanges:
        parts = exchange.target.split("/")
        if not exchange.connection.tap.startswith("box:"):
            continue
        whole = exchange.status == 200 and exchange.answer is not None and exchange.answer.whole
        if exchange.target == "/takeovers" and whole and exchange.answer is not None:
            answer = json.loads(exchange.answer.body)
            for held in (*answer["sessions"], *answer["gone"]):
                ended = held.get("by") == ""  # told to its owner's next run: nobody heard it then
                (use.ended if ended else use.taken)[held["set-up"]].add(held["at"])
            use.paid.update((h["set-up"], h["claim"]) for h in answer["sessions"] if h["paid"])
        if exchange.method != "PUT":
            continue
        again = len(parts) == 4 and parts[3] == "resume"
        if len(parts) != 3 and not again:
            continue
        order = json.loads(exchange.asked.body)
        if not again and order["paid"]:
            use.maybe.add(order["claim"])
        if exchange.status in (200, 201) and exchange.answer is not None and exchange.answer.whole:
            use.began[parts[2]].add(json.loads(exchange.answer.body)["at"])
            if not again and order["paid"]:
                use.paid[parts[2]] = order["claim"]
    for connection in checker.connections.values():
        if connection.tap.startswith("box:"):
            for event in bytes(connection.down.data).split(b"event: ended\ndata: ")[1:]:
                found = json.loads(event.split(b"\n", 1)[0])
                use.ended[found["session"]].add(found["at"])
            for event in bytes(connection.down.data).split(b"event: hello\ndata: ")[1:]:
                for found in json.loads(event.split(b"\n", 1)[0]).get("ended", ()):
                    use.ended[found["session"]].add(found["at"])
            for event in bytes(connection.down.data).split(b"event: rung\ndata: ")[1:]:
                found = json.loads(event.split(b"\n", 1)[0])
                use.turned.setdefault(found["session"], set()).add(found["at"])
            for event in bytes(connection.down.data).split(b"event: taken\ndata: ")[1:]:
                found = json.loads(event.split(b"\n", 1)[0])
                for set_up in found["sessions"]:
                    use.taken[set_up].add(found["at"])
    return use


def hold_against(checker: Checker, states: list[Path]) -> Billing:
    """Compare. Raises LogError where a ledger cannot be read."""
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
    _attempts(billing, use, charged)
    _play(billing, use, played, turned)
    return billing


def check_exports(billing: Billing, pairs: list[tuple[Path, Path]]) -> None:
    """Every record that a director exported is its ledger's, there once, none left out before the last."""

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


def _attempts(billing: Billing, use: TapUse, charged: dict[str, bool]) -> None:
    if billing.attempts != len(charged):
        billing.differences.append(f"{billing.attempts} attempts merged, {len(charged)} tokens charged")
    for token in sorted(set(use.paid.values()) - set(charged)):
        billing.differences.append(f"{token}: confirmed by a box and never charged")
    certain = {token for token, estimated in charged.items() if not estimated}
    for token in sorted(certain - set(use.paid.values())):
        billing.differences.append(f"{token}: charged as certain, and no box confirmed it")


def _by_owner(use: TapUse, set_up: str, known: set[int]) -> tuple[list[int], list[int]]:
    """Begins and ends of a session that changed hands: where one owner's interval ends the next one's begins.

    An owner may have died before its record lasted: what no ledger began is not compared.
    """
    moments = use.taken[set_up]
    begins = sorted((use.began[set_up] | moments) & known)
    over = use.ended[set_up]
    ends = [{at for at in moments if at > begin} | {at for at in over if at >= begin} for begin in begins]
    return begins, [min(found, default=-1) for found in ends]


def _play(billing: Billing, use: TapUse, played: dict[str, list[_Interval]], turned: dict[str, int]) -> None:
    billing.sessions = len(played)
    billing.unrecorded = sum(1 for set_up in use.began if set_up not in played and set_up not in use.paid)
    certain_ms = 0
    for set_up, intervals in played.items():
        intervals.sort(key=lambda interval: interval.begin)
        begins, over = sorted(use.began.get(set_up, ())), sorted(use.ended.get(set_up, ()))
        if set_up in use.taken:
            begins, over = _by_owner(use, set_up, {interval.begin for interval in intervals})
        for k, interval in enumerate(intervals):
            if interval.end is None or interval.estimated:
                billing.sessions_estimated += 1
                # the rungs that it left before were seen: up to the last change its play is certain
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
