"""A day's report: service, rules, where worth was lost."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any

from rich.console import Console
from rich.table import Table

from foxlift.rehearsal.day import DayResult
from foxlift.standins.checker import Service

RULES = {
    1: "one final answer in the viewer's time",
    2: "no second set-up, one attempt out at a time",
    3: "drains kept",
    4: "cold boxes not pushed over",
    5: "floor and seats",
    6: "budget of attempts",
    7: "beside the rules: bytes within what was booked",
    8: "beside the rules: commanded by its owner alone",
    9: "beside the rules: no session ends without a cause",
}


def as_json(result: DayResult) -> dict[str, Any]:
    """The report as plain values."""
    verdict = result.verdict

    def both(service: Service) -> dict[str, float]:
        return {"in_time": round(service.share, 4), "shaped": round(service.shaped_share, 4)}

    return {
        "scenario": result.scenario.name,
        "seed": result.seed,
        "kept": result.kept,
        "broken": [{"rule": b.rule, "at": round(b.at, 3), "what": b.what} for b in verdict.broken],
        "service": both(verdict.service),
        "classes": {name: both(service) for name, service in sorted(verdict.by_class.items())},
        "tenants": {name: both(service) for name, service in sorted(verdict.by_tenant.items())},
        "worst_10_s": round(verdict.worst_window, 4),
        "viewers": verdict.viewers,
        "requests": verdict.requests,
        "answers": {str(k): v for k, v in sorted(verdict.answers.items())},
        "set_ups": verdict.set_ups,
        "taken_over": verdict.taken_over,
        "refused_commands": verdict.refused_commands,
        "spent": verdict.spent,
        "ways_back": sum(w.fallbacks for w in result.watched),
        "switches": sum(w.switches for w in result.watched),
        "stalls": sum(w.stalls for w in result.watched),
        "stalled_s": round(result.stalled_s, 2),
        "breaks": sum(w.breaks for w in result.watched),
        "reloads": sum(w.reloads for w in result.watched),
        "billing": asdict(result.billing),
        "exits": result.exits,
        "rolled": result.rolled,
        "plans": None if result.plans is None else asdict(result.plans),
        "seconds": round(result.seconds, 1),
    }


def print_report(result: DayResult, console: Console) -> None:
    """Print the report for people."""
    report = as_json(result)
    console.print(f"[bold]{report['scenario']}[/bold], seed {report['seed']}, loopback")
    table = Table("service", "in time", "weighted by rung")
    table.add_row("all", _share(report["service"]["in_time"]), _share(report["service"]["shaped"]))
    for part in ("classes", "tenants"):
        for name, service in report[part].items():
            table.add_row(f"  {name}", _share(service["in_time"]), _share(service["shaped"]))
    table.add_row("worst 10 s", _share(report["worst_10_s"]), "")
    console.print(table)
    counts = ", ".join(f"{status}: {count}" for status, count in report["answers"].items())
    console.print(
        f"{report['viewers']} viewers, {report['requests']} manifest requests ({counts}; 0 is none),"
        f" {report['set_ups']} set-ups; {report['stalls']} stalls, {report['stalled_s']} s;"
        f" {report['breaks']} breaks; {report['reloads']} reloads; {report['ways_back']} ways back,"
        f" {report['switches']} switches of rendition"
    )
    if result.scenario.takeover:
        console.print(
            f"{report['taken_over']} sessions changed hands, {report['refused_commands']} commands of others"
            f" than their owner refused, {report['spent']} paid tokens spent though their box lived"
        )
    if result.plans is not None:
        states = ", ".join(f"{count} {state}" for state, count in sorted(result.plans.states.items()))
        console.print(
            f"{result.plans.numbers} plans ({states}), {len(result.plans.differing)} numbers with two plans;"
            f" the last director followed {result.plans.late_s:.2f} s after the first at most"
        )
    rules = Table("rule", "", "broken")
    for number, text in RULES.items():
        count = sum(1 for b in result.verdict.broken if b.rule == number)
        rules.add_row(str(number), text, str(count) if count else "kept")
    console.print(rules)
    for broken in result.verdict.broken[:20]:
        console.print(f"rule {broken.rule} at {broken.at:.3f}: {broken.what}", style="red", highlight=False)
    billing = result.billing
    console.print(
        f"ledgers: {billing.attempts} attempts ({billing.attempts_estimated} estimated;"
        f" {billing.attempts_on_taps} confirmed on the sockets), {billing.sessions} sessions"
        f" ({billing.sessions_estimated} estimated, {billing.unrecorded} unrecorded),"
        f" {billing.ms_on_taps} ms seen to their end on both sides; {billing.exported} records exported"
    )
    for difference in billing.differences[:20]:
        console.print(f"ledger: {difference}", style="red", highlight=False)
    for name, code in result.exits.items():
        if code:
            console.print(f"{name} ended with exit code {code}", style="red")


def write_json(result: DayResult) -> str:
    """The report as one line of JSON."""
    return json.dumps(as_json(result))


def _share(value: float) -> str:
    return f"{value:.3f}"
