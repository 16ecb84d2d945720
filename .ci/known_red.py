"""A pytest plugin that lets a run pass over the failures listed in KNOWN-RED.txt, and over no others.

One line for each listed test, three at most, its six fields separated by ` | `:

    test | always or sometimes | command | seed | what was seen | issue

    tests/test_x.py::test_y[case] | always | pytest -n 4 tests/test_x.py | 7 | refused after 45 s | 41

No field is empty (a test without a seed has `-`) or holds the separator; a line of another form is a usage
error.

Every test runs. The run passes only if no other test fails and each listed one ends as its second field says:

    always      it fails
    sometimes   it fails or passes

A line may also name a script that shows a fault, as a path from the root without `::`, with the same fields.
The run does not start it. It fails if the file is not there, and prints the line at its end. Three of these
may stand beside the three tests.

A listed test that is skipped or is not there fails the run, and so does an `always` test that passes, so that
the list cannot go stale. How each listed test ended is printed. Errors other than failed tests (interrupts,
usage errors, no tests) keep pytest's exit code. `.ci/run` loads the plugin where the file exists.
"""

from __future__ import annotations

import re
from dataclasses import astuple, dataclass
from enum import StrEnum
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_LISTED = 3  # of tests, and of scripts
NODE_SEPARATOR = "::"  # in the name of every pytest test
FORM = "test | always or sometimes | command | seed | what was seen | issue"
FIELDS = FORM.count(" | ") + 1
SEPARATOR = re.compile(r" \|(?= )")  # the second space may begin the next separator, around an empty field


class Frequency(StrEnum):
    """How often a listed test fails."""

    ALWAYS = "always"
    SOMETIMES = "sometimes"


class Outcome(StrEnum):
    """How a listed test ended."""

    FAILED = "failed"
    PASSED = "passed"
    SKIPPED = "skipped"
    ABSENT = "not there"
    NOT_RUN = "not run"


ACCEPTED = {
    Frequency.ALWAYS: {Outcome.FAILED},
    Frequency.SOMETIMES: {Outcome.FAILED, Outcome.PASSED},
}
COMPLAINTS = {Frequency.ALWAYS: "DID NOT FAIL", Frequency.SOMETIMES: "DID NOT RUN"}


class MalformedListError(ValueError):
    """KNOWN-RED.txt is not as described above."""


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list."""

    test: str
    frequency: Frequency
    command: str
    seed: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return " | ".join(astuple(self))

    @property
    def is_script(self) -> bool:
        """Whether the line names a script, which the run does not start."""
        return NODE_SEPARATOR not in self.test

    def accepts(self, outcome: Outcome) -> bool:
        """Whether the run may pass with this outcome of the test or script."""
        if self.is_script:
            return outcome is Outcome.NOT_RUN
        return outcome in ACCEPTED[self.frequency]

    def verdict(self, outcome: Outcome) -> str:
        """What is printed behind the line."""
        if self.accepts(outcome):
            return f"{outcome}, as listed"
        if self.is_script:
            return f"NO SUCH FILE ({outcome}): take its line away"
        return f"{COMPLAINTS[self.frequency]} ({outcome}): take its line away"


def read_list(text: str) -> tuple[KnownFailure, ...]:
    """The listed failures; empty lines do not count. Raises MalformedListError."""
    lines = [(number, line) for number, line in enumerate(text.splitlines(), 1) if line.strip()]
    listed = tuple(_read_line(number, line) for number, line in lines)
    scripts = sum(known.is_script for known in listed)
    for count, kind in ((len(listed) - scripts, "tests"), (scripts, "scripts")):
        if count > MAX_LISTED:
            raise MalformedListError(f"{FILE}: {count} {kind}, at most {MAX_LISTED} are allowed")
    if len({known.test for known in listed}) < len(listed):
        raise MalformedListError(f"{FILE}: a test is listed twice")
    return listed


def _read_line(number: int, line: str) -> KnownFailure:
    fields = [field.strip() for field in SEPARATOR.split(line)]
    if len(fields) != FIELDS or not all(fields):
        raise MalformedListError(f"{FILE}, line {number}: want `{FORM}`, found {line!r}")
    test, word, command, seed, seen, issue = fields
    return KnownFailure(test, _read_frequency(number, word), command, seed, seen, issue)


def _read_frequency(number: int, word: str) -> Frequency:
    try:
        return Frequency(word)
    except ValueError as error:
        wanted = " or ".join(f"`{frequency}`" for frequency in Frequency)
        raise MalformedListError(f"{FILE}, line {number}: want {wanted}, found {word!r}") from error


class KnownRed:
    """Collects how the tests ended and decides the exit code. Under xdist it lives in the controller only."""

    def __init__(self, listed: tuple[KnownFailure, ...], root: Path) -> None:
        self.listed, self._root = listed, root
        self.failed: set[str] = set()
        self.skipped: set[str] = set()
        self.passed: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """A failure or skip counts in set-up, call and tear-down, a pass in the call alone."""
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.skipped:
            self.skipped.add(report.nodeid)
        elif report.when == "call":
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """A file that cannot be imported."""
        if report.failed:
            self.failed.add(report.nodeid)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        """The verdict. Other exit codes than those of passed and failed tests stay as they are."""
        if exitstatus not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
            return
        as_listed = not self._unlisted() and all(known.accepts(self._outcome(known)) for known in self.listed)
        session.exitstatus = pytest.ExitCode.OK if as_listed else pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints each listed test and how it ended, and the failures that are not listed."""
        terminalreporter.section(FILE)
        for known in self.listed:
            terminalreporter.line(f"{known}: {known.verdict(self._outcome(known))}")
        for test in sorted(self._unlisted()):
            terminalreporter.line(f"{test}: FAILED, not listed")

    def _unlisted(self) -> set[str]:
        return self.failed - {known.test for known in self.listed}

    def _outcome(self, known: KnownFailure) -> Outcome:
        """The worst of the test's set-up, call and tear-down; of a script, whether its file is there."""
        if known.is_script:
            return Outcome.NOT_RUN if (self._root / known.test).is_file() else Outcome.ABSENT
        test = known.test
        if test in self.failed:
            return Outcome.FAILED
        if test in self.skipped:
            return Outcome.SKIPPED
        return Outcome.PASSED if test in self.passed else Outcome.ABSENT


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list. A malformed one is a usage error."""
    path = Path(config.rootpath, FILE)
    if hasattr(config, "workerinput") or not path.exists():
        return
    try:
        listed = read_list(path.read_text(encoding="utf-8"))
    except MalformedListError as error:
        raise pytest.UsageError(str(error)) from error
    config.pluginmanager.register(KnownRed(listed, Path(config.rootpath)), "known-red-list")
