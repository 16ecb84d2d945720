"""Builds configurations of a platform director for tests."""

from __future__ import annotations

import json
from typing import Any

LADDER = [200.0, 500.0, 1100.0, 2500.0]


def settings(**more: Any) -> dict[str, Any]:
    """Return the settings object, nested as the platform does; `group__name=value` replaces one."""
    made: dict[str, Any] = {
        "balancers": 2,
        "ordinal": 0,
        "zone": 0,
        "zones": ["east", "west"],
        "models": ["big", "small"],
        "orgs": [{"name": "acme", "portion": 1.0, "quota_per_s": 50.0}],
        "categories": [
            {"name": "paid", "idempotency": "fragile", "aim_ms": 500.0, "deadline_ms": 1000.0, "gain": 3.0},
            {"name": "free", "idempotency": "retryable", "aim_ms": 400.0, "deadline_ms": 1500.0, "gain": 1.0},
        ],
        "family_info": {
            "cells": 4,
            "racks": 2,
            "class_scale": [1.0, 0.7],
            "is_live": [False, False],
            "ladder_kb": LADDER,
            "ladder_worth": [0.2, 0.5, 0.75, 1.0],
            "kb_per_weight": 140000.0,
            "kind_slots": [400, 300],
            "rack_link_kb": 500000.0,
            "told_late_ms": 300.0,
            "reports_every_ms": 1500.0,
        },
        "invariants": {
            "answer_slack_ms": 5.0,
            "cold_from": 0.4,
            "ramp_time_ms": 0.0,
            "fall_multiple": 2.5,
            "overload_for_ms": 1500.0,
            "stop_sending_within_ms": 1000.0,
        },
        "limits": {
            "connect_timeout_ms": 250.0,
            "keepalive_ms": 30000.0,
            "max_retry_after_ms": 500.0,
            "may_cancel": True,
            "retry_after": True,
            "try_limit": 5,
        },
        "telemetry": {"columns": ["x0"], "how": "inline"},
        "tick_ms": 1.0,
    }
    for path, value in more.items():
        group, _, name = path.partition("__")
        if name:
            made[group][name] = value
        else:
            made[group] = value
    return made


def member(
    number: int, address: str, cell: int = 0, phase: str = "active", started: float = 0
) -> dict[str, Any]:
    """Return a server's entry in the configured list."""
    return {
        "id": f"s-{number:08x}",
        "host_port": address,
        "locality": "east",
        "flavor": "big",
        "cell": cell,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": started,
    }


def config(
    members: list[dict[str, Any]],
    coordinator: str = "127.0.0.1:9",
    listen: str = "127.0.0.1:1",
    sockets: int = 256,
    **more: Any,
) -> bytes:
    """Return the bytes of a director's configuration file."""
    return json.dumps(
        {
            "name": "n0",
            "listen": listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "coordinator": coordinator,
            "known": {
                "index": 1,
                "updates": [{"index": 1, "endpoints": {"revision": 0, "complete": True, "members": members}}],
            },
            "settings": settings(**more),
        }
    ).encode()
