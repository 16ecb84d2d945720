"""Reads answers of the box list: which media servers a director was told of, and their state."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any


def listed_servers(answer: dict[str, Any]) -> Iterator[tuple[str, bool]]:
    """Name and whether it is closed to new work, for every media server that an answer names."""
    if "system_version_info" in answer:
        for resource in answer.get("resources", ()):
            yield resource["name"], resource["resource"]["health_status"] != "HEALTHY"
        for name in answer.get("removed_resources", ()):
            yield name, True
        return
    for assignment in answer.get("resources", ()):
        for group in assignment.get("endpoints", ()):
            for endpoint in group["lb_endpoints"]:
                name = endpoint["metadata"]["filter_metadata"]["foxlift"]["name"]
                yield name, endpoint["health_status"] != "HEALTHY"
