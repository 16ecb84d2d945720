"""Changes of titles at runtime: set, withdrawn, or restored to the catalogue file's state.

A session keeps the title that it was opened with; a change only affects requests that follow it.
"""

from __future__ import annotations

from pathlib import Path

from foxlift.catalogue.titles import Catalogue, Title, title_number
from foxlift.manifest import DashSource, ManifestError
from foxlift.rollout.agent import Problem
from foxlift.rollout.entry import Change, EntryError
from foxlift.rollout.kinds import TITLES, TitleValue, kind_of, name_of, read_title

MAX_SOURCES = 10_000  # parsed manifests that are cached


class TitleChanges:
    """Applies changes to a director's catalogue. `folder`: of the manifests; `cells`: number in the fleet."""

    def __init__(self, catalogue: Catalogue, folder: Path, cells: int) -> None:
        self._catalogue, self._folder, self._cells = catalogue, folder, cells
        self._titles_of_file = dict(catalogue.titles)
        self._names = {title.number: title.name for title in catalogue.titles.values()}
        self._sources: dict[str, DashSource] = {}

    def check(self, change: Change) -> Problem | None:
        """The first problem that keeps this director from applying a change; changes nothing."""
        for key in (*change.puts, *change.removes):
            if kind_of(key) != TITLES:
                return Problem(key, "kind of key is not known to this director")
        for key, value in change.puts.items():
            try:
                self._read_title(key, value)
            except (EntryError, OSError, ManifestError) as error:
                return Problem(key, str(error))
        return None

    def apply(self, change: Change) -> None:
        """Apply a change that passed the check."""
        titles = self._catalogue.titles
        for key, value in change.puts.items():
            title = self._read_title(key, value)
            if title is None:
                titles.pop(name_of(key), None)
            else:
                titles[title.name] = title
                self._names[title.number] = title.name
        for key in change.removes:
            name = name_of(key)
            if name in self._titles_of_file:
                titles[name] = self._titles_of_file[name]
            else:
                titles.pop(name, None)
                self._names.pop(title_number(name), None)
        self._drop_unused_sources()

    def _read_title(self, key: str, value: str) -> Title | None:
        """Raises EntryError, OSError and ManifestError."""
        title_value = read_title(key, value)
        if title_value is None:
            return None
        if title_value.first_cell >= self._cells or title_value.holders > self._cells:
            raise EntryError(
                f"{title_value.holders} holders from {title_value.first_cell} do not fit {self._cells} cells"
            )
        name = name_of(key)
        number = title_number(name)
        if self._names.get(number, name) != name:
            raise EntryError(f"its number {number} is that of title {self._names[number]}")
        return Title(
            name, number, title_value.first_cell, title_value.holders, self._read_source(title_value)
        )

    def _read_source(self, title_value: TitleValue) -> DashSource:
        source = self._sources.get(title_value.manifest)
        if source is None:
            path = self._folder / title_value.manifest
            source = self._sources[title_value.manifest] = DashSource(path.read_bytes(), str(path))
        return source

    def _drop_unused_sources(self) -> None:
        if len(self._sources) > MAX_SOURCES:
            used = {id(title.source) for title in self._catalogue.titles.values()}
            self._sources = {name: s for name, s in self._sources.items() if id(s) in used}
