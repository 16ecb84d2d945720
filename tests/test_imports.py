"""Imports within the program: no circle, and none that leads from a lower floor to a higher one.

Imports for type checking and those inside functions count as any other.
"""

from __future__ import annotations

import graphlib
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import grimp
import pytest

import foxlift

# The floor of each package, and of each module beside them: docs/ARCHITECTURE.md gives what they hold.
FLOORS = {
    "cli": 5,
    "rehearsal": 4,
    "standins": 4,
    "director": 3,
    "control": 3,
    "platform": 3,
    "http": 2,
    "boxes": 2,
    "manifest": 2,
    "catalogue": 2,
    "telemetry": 2,
    "membership": 1,
    "decide": 1,
    "tokens": 1,
    "ledger": 1,
    "peers": 1,
    "recovery": 1,
    "consensus": 1,
    "zones": 1,
    "rollout": 1,
    "store": 1,
    "config": 0,
    "interface": 0,
    "logic": 0,
    "wire": 0,
    "wirehost": 0,
    "wiresettings": 0,
}

Imports = set[tuple[str, str]]  # importer, imported


def imports_of(graph: grimp.ImportGraph) -> Imports:
    """Every direct import between modules of the graph."""
    return {
        (importer, imported)
        for importer in graph.modules
        for imported in graph.find_modules_directly_imported_by(importer)
    }


def package_of(module: str) -> str:
    """The package below the root, or the module that stands beside the packages."""
    return module.split(".")[1] if "." in module else module


def between_packages(imports: Imports) -> Imports:
    pairs = {(package_of(importer), package_of(imported)) for importer, imported in imports}
    return {(importer, imported) for importer, imported in pairs if importer != imported}


def circle_in(imports: Iterable[tuple[str, str]]) -> list[str]:
    """The names of one circle, the first of them again at its end; none: an empty list."""
    imported_by: dict[str, set[str]] = defaultdict(set)
    for importer, imported in imports:
        imported_by[importer].add(imported)
    try:
        graphlib.TopologicalSorter(imported_by).prepare()
    except graphlib.CycleError as error:
        return list(error.args[1])
    return []


def upward_in(imports: Imports, floors: dict[str, int]) -> list[str]:
    """Imports from a higher floor."""
    return sorted(
        f"{importer} -> {imported}"
        for importer, imported in imports
        if floors[package_of(importer)] < floors[package_of(imported)]
    )


@pytest.fixture(scope="module")
def graph() -> grimp.ImportGraph:
    return grimp.build_graph("foxlift", cache_dir=None)


def test_every_file_of_the_program_is_in_the_graph_and_has_a_floor(graph: grimp.ImportGraph) -> None:
    """A folder without `__init__.py` would be passed over in silence."""
    root = Path(foxlift.__file__).parent
    files = {
        ".".join(("foxlift", *path.relative_to(root).with_suffix("").parts)).removesuffix(".__init__")
        for path in root.rglob("*.py")
    }
    assert graph.modules == files
    assert {package_of(module) for module in files - {"foxlift"}} == set(FLOORS)


def test_no_circle_between_modules(graph: grimp.ImportGraph) -> None:
    assert circle_in(imports_of(graph)) == []


def test_no_circle_between_packages(graph: grimp.ImportGraph) -> None:
    assert circle_in(between_packages(imports_of(graph))) == []


def test_no_import_from_a_higher_floor(graph: grimp.ImportGraph) -> None:
    assert upward_in(imports_of(graph), FLOORS) == []


def test_the_checks_find_what_they_are_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A package of four files, with a circle in one folder, one between folders, and an import upwards."""
    sources = {
        "__init__.py": "",
        "low/__init__.py": "",
        "low/first.py": "import typing\nif typing.TYPE_CHECKING:\n    from sample.low.second import x\n",
        "low/second.py": "def late():\n    import sample.low.first\n",
        "high/__init__.py": "",
        "high/third.py": "from sample.low import first\n",
    }
    for name, source in sources.items():
        (tmp_path / "sample" / name).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / "sample" / name).write_text(source)
    monkeypatch.syspath_prepend(tmp_path)
    imports = imports_of(grimp.build_graph("sample", cache_dir=None))
    assert sorted(circle_in(imports)[1:]) == ["sample.low.first", "sample.low.second"]
    assert circle_in(between_packages(imports)) == []
    assert upward_in(imports, {"low": 0, "high": 1}) == []
    imports.add(("sample.low.second", "sample.high.third"))
    assert sorted(circle_in(between_packages(imports))[1:]) == ["high", "low"]
    assert upward_in(imports, {"low": 0, "high": 1}) == ["sample.low.second -> sample.high.third"]
