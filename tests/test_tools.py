"""The checks around the code: the list of known failures, and the linter's list of files not clean yet."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest

def test_good(): pass
def test_red(): assert False
@pytest.mark.parametrize("case", ["a b", "c"])
def test_cases(case): assert case == "c"
@pytest.fixture
def broken(): raise OSError
def test_set_up(broken): pass
"""
ALWAYS = "| always | pytest -k 'red|cases' tests | 7 | a fault | 41\n"
SOMETIMES = "| sometimes | pytest -n 4 tests | - | a fault, now and then | 42\n"
RED = f"tests/test_it.py::test_red {ALWAYS}"
CASE = f"tests/test_it.py::test_cases[a b] {ALWAYS}"
SET_UP = f"tests/test_it.py::test_set_up {ALWAYS}"
WAVERING = f"tests/test_it.py::test_wavering {SOMETIMES}"
WAVERING_TESTS = {
    "failed": "def test_wavering(): assert False",
    "failed in set-up": "@pytest.fixture\ndef broken(): raise OSError\ndef test_wavering(broken): pass",
    "failed in tear-down": (
        "@pytest.fixture\ndef broken():\n    yield\n    raise OSError\ndef test_wavering(broken): pass"
    ),
    "passed": "def test_wavering(): pass",
    "skipped": "@pytest.mark.skip\ndef test_wavering(): assert False",
    "skipped in the call": "def test_wavering(): pytest.skip()",
    "skipped as expected to fail": "@pytest.mark.xfail\ndef test_wavering(): assert False",
    "not there": "def test_of_another_name(): pass",
}


def ci(tmp_path: Path, listed: str | None, tests: str = TESTS, workers: int = 0) -> tuple[int, str]:
    """Exit code and output of `.ci/run` in a scratch checkout."""
    shutil.copytree(ROOT / ".ci", tmp_path / ".ci", ignore=shutil.ignore_patterns("__pycache__"))
    command = f"python3 -m venv --help > venv.txt && {sys.executable} -m pytest -q -n {workers} tests"
    (tmp_path / "README.md").write_text(f"# Scratch\n\n    {command}\n")
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "tests").mkdir(exist_ok=True)
    (tmp_path / "tests/test_it.py").write_text(tests)
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    env = {k: v for k, v in os.environ.items() if not k.startswith(("PYTEST", "PYTHONPATH"))}
    done = subprocess.run(
        ["bash", ".ci/run"], cwd=tmp_path, env=env, capture_output=True, text=True, timeout=60
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("workers", [0, 2])
def test_the_listed_failures_let_the_run_pass_and_are_printed(tmp_path: Path, workers: int) -> None:
    code, output = ci(tmp_path, RED + CASE + SET_UP, workers=workers)
    assert code == 0, output
    assert "2 passed" in output and "2 failed" in output and "1 error" in output  # all ran
    for line in (RED, CASE, SET_UP):
        assert f"{line.strip()}: failed, as listed" in output


def wavering(case: str) -> str:
    """A test file with one test that passes, one that fails and one that ends as the case says."""
    return f"import pytest\ndef test_good(): pass\ndef test_red(): assert False\n{WAVERING_TESTS[case]}\n"


@pytest.mark.parametrize("workers", [0, 2])
@pytest.mark.parametrize("case", ["failed", "failed in set-up", "failed in tear-down", "passed"])
def test_a_test_listed_as_failing_sometimes_may_fail_or_pass_and_its_outcome_is_printed(
    tmp_path: Path, case: str, workers: int
) -> None:
    code, output = ci(tmp_path, RED + WAVERING, wavering(case), workers)
    assert code == 0, output
    assert f"{RED.strip()}: failed, as listed" in output
    assert f"{WAVERING.strip()}: {case.split()[0]}, as listed" in output


@pytest.mark.parametrize("workers", [0, 2])
@pytest.mark.parametrize(
    "case", ["skipped", "skipped in the call", "skipped as expected to fail", "not there"]
)
def test_a_test_listed_as_failing_sometimes_that_does_not_run_fails_the_run(
    tmp_path: Path, case: str, workers: int
) -> None:
    code, output = ci(tmp_path, RED + WAVERING, wavering(case), workers)
    outcome = case if case == "not there" else "skipped"
    assert code == 1 and f"{WAVERING.strip()}: DID NOT RUN ({outcome})" in output


@pytest.mark.parametrize("workers", [0, 2])
@pytest.mark.parametrize("case", ["failed", "passed"])
def test_a_test_listed_as_failing_sometimes_excuses_no_other(tmp_path: Path, case: str, workers: int) -> None:
    code, output = ci(tmp_path, WAVERING, wavering(case), workers)
    assert code == 1 and "tests/test_it.py::test_red: FAILED, not listed" in output


@pytest.mark.parametrize("workers", [0, 2])
def test_a_run_in_which_all_tests_pass_may_list_one_that_fails_sometimes(
    tmp_path: Path, workers: int
) -> None:
    code, output = ci(tmp_path, WAVERING, "def test_wavering(): pass\n", workers)
    assert code == 0 and f"{WAVERING.strip()}: passed, as listed" in output


@pytest.mark.parametrize("workers", [0, 2])
def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path, workers: int) -> None:
    code, output = ci(tmp_path, RED + CASE, workers=workers)
    assert code == 1 and "tests/test_it.py::test_set_up: FAILED, not listed" in output


@pytest.mark.parametrize("workers", [0, 2])
@pytest.mark.parametrize(
    ("stale", "outcome"),
    [
        (f"tests/test_it.py::test_good {ALWAYS}", "passed"),
        (f"tests/test_it.py::test_gone {ALWAYS}", "not there"),
        (f"tests/test_it.py::test_skipped {ALWAYS}", "skipped"),
    ],
)
def test_a_test_listed_as_failing_always_that_does_not_fail_fails_the_run(
    tmp_path: Path, stale: str, outcome: str, workers: int
) -> None:
    tests = (
        "import pytest\ndef test_good(): pass\ndef test_red(): assert False\n"
        "@pytest.mark.skip\ndef test_skipped(): assert False\n"
    )
    code, output = ci(tmp_path, RED + stale, tests, workers)
    assert code == 1 and f"{stale.strip()}: DID NOT FAIL ({outcome})" in output


@pytest.mark.parametrize(
    ("listed", "complaint"),
    [
        (RED + CASE + SET_UP + f"tests/test_it.py::test_good {ALWAYS}", "at most 3"),
        (RED + CASE + SET_UP + f"tests/test_it.py::test_good {SOMETIMES}", "at most 3"),
        ("tests/test_it.py::test_red\n", "line 1: want `test | always or sometimes | command"),
        ("tests/test_it.py::test_red | a fault | 41\n", "line 1: want `test | always or sometimes | command"),
        (RED + CASE.replace(" | 7 | ", " | | "), "line 2: want `test |"),
        (RED + "\n" + CASE.replace(" | 7 | ", " |  | "), "line 3: want `test |"),
        (RED + CASE.replace("red|cases", "red | cases"), "line 2: want `test |"),
        (RED + CASE.replace("red|cases' tests | 7 | ", "red' | tail | | "), "line 2: want `test |"),
        (RED + CASE.replace("always", "often"), "line 2: want `always` or `sometimes`, found 'often'"),
        (RED + CASE.replace("always", "Always"), "line 2: want `always` or `sometimes`, found 'Always'"),
        (RED + RED, "listed twice"),
        (RED + RED.replace("always", "sometimes"), "listed twice"),
    ],
)
def test_a_malformed_list_fails_the_run(tmp_path: Path, listed: str, complaint: str) -> None:
    code, output = ci(tmp_path, listed)
    assert code not in (0, 1) and complaint in output and "passed" not in output


SCRIPT = f"tests/show.sh {ALWAYS}"


@pytest.mark.parametrize("workers", [0, 2])
def test_a_listed_script_is_printed_and_not_run(tmp_path: Path, workers: int) -> None:
    """It would fail if it were run, and leave a file; three tests may stand beside it."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/show.sh").write_text("#!/bin/sh\ntouch was-run\nexit 1\n")
    code, output = ci(tmp_path, RED + CASE + SET_UP + SCRIPT, workers=workers)
    assert code == 0 and f"{SCRIPT.strip()}: not run, as listed" in output
    assert not (tmp_path / "was-run").exists()


def test_a_listed_script_that_is_not_there_fails_the_run(tmp_path: Path) -> None:
    code, output = ci(tmp_path, RED + CASE + SET_UP + SCRIPT)
    assert code == 1 and f"{SCRIPT.strip()}: NO SUCH FILE (not there)" in output


def test_a_listed_script_excuses_no_test_and_no_more_than_three_are_listed(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/show.sh").write_text("exit 1\n")
    code, output = ci(tmp_path, SCRIPT)
    assert code == 1 and "tests/test_it.py::test_red: FAILED, not listed" in output
    four = "".join(f"tests/show{k}.sh {ALWAYS}" for k in range(4))
    shutil.rmtree(tmp_path)
    tmp_path.mkdir()
    code, output = ci(tmp_path, four)
    assert code not in (0, 1) and "4 scripts, at most 3" in output


def test_a_file_that_cannot_be_collected_fails_the_run(tmp_path: Path) -> None:
    code, output = ci(tmp_path, RED, "import nothing_of_this_name\n")
    assert code not in (0,) and "tests/test_it.py: FAILED, not listed" in output


def test_without_a_list_any_failure_fails_the_run(tmp_path: Path) -> None:
    code, output = ci(tmp_path, None)
    assert code == 1 and "KNOWN-RED" not in output


def test_an_empty_list_asks_for_a_run_without_failures(tmp_path: Path) -> None:
    assert ci(tmp_path, "", "def test_good(): pass\n")[0] == 0


def test_each_exception_that_the_linter_is_given_is_still_needed() -> None:
    """Files that have become clean leave the list, so that it can only shrink."""
    config = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
    listed = {
        (name, rule)
        for name, rules in config["per-file-ignores"].items()
        for rule in rules
        if "*" not in name
    }
    ruff = [sys.executable, "-m", "ruff", "check", "--no-cache", "--output-format", "json"]
    done = subprocess.run(
        [*ruff, "--config", "lint.per-file-ignores = {}", "."], cwd=ROOT, capture_output=True, text=True
    )
    found = {
        (Path(one["filename"]).relative_to(ROOT).as_posix(), one["code"]) for one in json.loads(done.stdout)
    }
    assert listed - found == set(), "take these off the list in pyproject.toml"
