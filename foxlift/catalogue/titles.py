"""The catalogue folder: `catalogue.sexp` and the source manifests that it names."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.config import DirectorConfig
from foxlift.config.forms import ConfigError, SourcePosition, bind, read_forms
from foxlift.manifest import DashSource, ManifestError

TitleName = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]


class _TitleForm(msgspec.Struct, frozen=True, tag="title"):
    name: TitleName
    first_cell: Annotated[int, Meta(ge=0)]
    holders: Annotated[int, Meta(ge=1)]
    manifest: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]+$")]


class _CatalogueForm(msgspec.Struct, frozen=True):
    version: Annotated[int, Meta(ge=0)]
    titles: tuple[_TitleForm, ...]


@dataclass(frozen=True, slots=True)
class Title:
    """A title and its holders: `holders` cells in a row from `first_cell`."""

    name: str
    number: int
    first_cell: int
    holders: int
    source: DashSource


@dataclass(frozen=True, slots=True)
class Catalogue:
    """All titles of one version of the file, and as `foxlift.catalogue.changes` has changed them since."""

    version: int
    titles: dict[str, Title]


def title_number(name: str) -> int:
    """The opaque number by which the module knows a title; the same at every director."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def load_catalogue(folder: Path, cells: int) -> Catalogue:
    """Read the folder whole. Raises ConfigError for the first thing that cannot be used."""
    path = folder / "catalogue.sexp"
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(SourcePosition(str(path), 1, 1), "", f"cannot be read: {error}") from error
    form = bind(read_forms(text, str(path)), _CatalogueForm, "catalogue")
    sources: dict[str, DashSource] = {}
    titles: dict[str, Title] = {}
    numbers: set[int] = set()
    for entry in form.titles:
        place = SourcePosition(str(path), 1, 1)
        number = title_number(entry.name)
        if entry.name in titles or number in numbers:
            raise ConfigError(place, f"catalogue.titles.{entry.name}", "stated twice")
        if entry.first_cell >= cells or entry.holders > cells:
            raise ConfigError(place, f"catalogue.titles.{entry.name}", f"does not fit {cells} cells")
        if entry.manifest not in sources:
            source_path = folder / entry.manifest
            try:
                sources[entry.manifest] = DashSource(source_path.read_bytes(), str(source_path))
            except (OSError, ManifestError) as error:
                raise ConfigError(place, f"catalogue.titles.{entry.name}.manifest", str(error)) from error
        numbers.add(number)
        titles[entry.name] = Title(
            entry.name, number, entry.first_cell, entry.holders, sources[entry.manifest]
        )
    return Catalogue(form.version, titles)


def ladder_mismatches(config: DirectorConfig, catalogue: Catalogue) -> list[str]:
    """Sources whose renditions do not fit the ladder of a class, a line each: file, line, class, figures."""
    found: list[str] = []
    for source in {id(title.source): title.source for title in catalogue.titles.values()}.values():
        for klass in config.fleet.classes:
            ladder = tuple(kb * klass.rate_scale for kb in config.fleet.ladder_kb[: klass.top + 1])
            for misfit in source.renditions.misfits(ladder, klass.floor):
                where = f"{source.name}:{source.line_of(misfit.index)}"
                found.append(f"{where}: class {klass.name}: {misfit.what}")
    return found
