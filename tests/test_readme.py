"""The README's embedding example runs and does what it says."""

import re
from pathlib import Path
from typing import Any

from foxlift import interface as fl


def test_embedding_example() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    example = re.search(r"```python\n(.*?)```", text, re.S)
    assert example is not None
    scope: dict[str, Any] = {}
    exec(example.group(1), scope)
    assert [type(action) for action in scope["actions"]] == [fl.SetRung, fl.SetUp]
    assert scope["actions"][1].node == 7
