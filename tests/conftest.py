"""The same verdict every time: property tests draw the same examples, unless HYPOTHESIS_PROFILE=search.

Each test has ports of its own (`ports`).
"""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings
from ports import allocator

# how fast examples are drawn is the machine's business, and no verdict on the program
SLOW = [HealthCheck.too_slow]
settings.register_profile("fixed", derandomize=True, deadline=None, suppress_health_check=SLOW)
settings.register_profile("search", deadline=None, max_examples=1000, suppress_health_check=SLOW)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


@pytest.fixture(autouse=True)
def release_ports() -> Iterator[None]:
    """Let the ports go that a test was given, once it is over."""
    yield
    allocator().release_all()
