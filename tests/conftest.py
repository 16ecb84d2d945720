"""The same verdict every time: property tests draw the same examples, unless HYPOTHESIS_PROFILE=search."""

from __future__ import annotations

import os

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None)
settings.register_profile("search", deadline=None, max_examples=1000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))
