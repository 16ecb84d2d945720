"""Reads the catalogue folder: `catalogue.sexp` and the source manifests that it names."""

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
    """A title; the cells that store it are `holders` consecutive ones from `first_cell`."""

    name: str
    number: int
    first_cell: int
    holders: int
    source: DashSource


@dataclass(frozen=True, slots=True)
class Catalogue:
    """All titles of one version of the file, with later changes by `foxlift.catalogue.changes`."""

    version: int
    titles: dict[str, Title]


def title_number(name: str) -> int:
    """The title's number in the decision module: a hash of the name, equal at every director."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def load_catalogue(folder: Path, cells: int) -> Catalogue:
    """Read the whole folder. Raises ConfigError for the first invalid part."""
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
        position = SourcePosition(str(path), 1, 1)
        number = title_number(entry.name)
        if entry.name in titles or number in numbers:
            raise ConfigError(
                position,
                f"catalogue.titles.{entry.name}",
                "stated twice, or its number is that of another title",
            )
        if entry.first_cell >= cells or entry.holders > cells:
            raise ConfigError(
                position,
                f"catalogue.titles.{entry.name}",
                f"{entry.holders} holders from {entry.first_cell}: does not fit {cells} cells",
            )
        if entry.manifest not in sources:
            source_path = folder / entry.manifest
            try:
                sources[entry.manifest] = DashSource(source_path.read_bytes(), str(source_path))
            except (OSError, ManifestError) as error:
                raise ConfigError(position, f"catalogue.titles.{entry.name}.manifest", str(error)) from error
        numbers.add(number)
        titles[entry.name] = Title(
            entry.name, number, entry.first_cell, entry.holders, sources[entry.manifest]
        )
    return Catalogue(form.version, titles)


def ladder_mismatches(config: DirectorConfig, catalogue: Catalogue) -> list[str]:
    """Source renditions that do not match a class's ladder, one line each: file, line, class, figures."""
    lines: list[str] = []
    for source in {id(title.source): title.source for title in catalogue.titles.values()}.values():
        for klass in config.fleet.classes:
            ladder = tuple(kb * klass.rate_scale for kb in config.fleet.ladder_kb[: klass.top + 1])
            for misfit in source.renditions.misfits(ladder, klass.floor):
                where = f"{source.name}:{source.line_of(misfit.index)}"
                lines.append(f"{where}: class {klass.name}: {misfit.what}")
    return lines
