"""Names and field orders that leave the process stay what `outer_formats.txt` lists.

Guards against a rename inside the program that also renames a field of a message, a stored record, a setting,
a value of an enum or an option of a command. The list holds no name of a class or an attribute, so that these
are free. After an intended change of a format: `python tests/test_outer_formats.py`, and read the difference.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from types import ModuleType, NoneType, UnionType
from typing import Annotated, Union, get_args, get_origin

import click
import msgspec

import foxlift
from foxlift import wire
from foxlift.cli.main import main

LISTED = Path(__file__).with_name("outer_formats.txt")


def all_modules() -> Iterator[ModuleType]:
    for found in pkgutil.walk_packages(foxlift.__path__, "foxlift."):
        yield importlib.import_module(found.name)


def classes_of(base: type) -> list[type]:
    """Subclasses of `base` that the program defines, each once."""
    found = {
        value
        for module in all_modules()
        for value in vars(module).values()
        if isinstance(value, type) and issubclass(value, base) and value.__module__ == module.__name__
    }
    return sorted(found, key=lambda cls: (cls.__module__, cls.__qualname__))


def type_text(form: object) -> str:
    """A type with names of classes masked: `dict[str, *]`, `int | None`."""
    if get_origin(form) is Annotated:
        return type_text(get_args(form)[0])
    if get_origin(form) in (Union, UnionType):
        return " | ".join(type_text(part) for part in get_args(form))
    if get_origin(form) is not None:
        parts = ", ".join(type_text(part) for part in get_args(form))
        return f"{type_text(get_origin(form))}[{parts}]"
    if form is NoneType:
        return "None"
    return form.__name__ if isinstance(form, type) and form.__module__ == "builtins" else "*"


def struct_line(struct: type[msgspec.Struct]) -> str:
    """Kind, tag, strictness and fields of one struct: by their written names, in arrays by their types.

    `?` marks optional fields.
    """
    config = struct.__struct_config__
    kind = "array" if config.array_like else "object"
    tag = "" if config.tag is None else f" {config.tag_field}={config.tag}"
    strict = " strict" if config.forbid_unknown_fields else ""
    sparse = " sparse" if config.omit_defaults else ""
    fields = ", ".join(
        (type_text(field.type) if config.array_like else field.encode_name) + ("" if field.required else "?")
        for field in msgspec.structs.fields(struct)
    )
    return f"struct {kind}{tag}{strict}{sparse}: {fields}"


def enum_line(enum: type[Enum]) -> str:
    return "enum: " + " | ".join(str(member.value) for member in enum)


def command_lines(command: click.Command, path: str) -> Iterator[str]:
    """A command with its options and arguments, and the same of its subcommands."""
    given = [
        " ".join([*parameter.opts, *parameter.secondary_opts])
        if isinstance(parameter, click.Option)
        else parameter.make_metavar(click.Context(command))
        for parameter in command.params
    ]
    yield f"command {path}: " + ", ".join(given)
    if isinstance(command, click.Group):
        for name, inner in sorted(command.commands.items()):
            yield from command_lines(inner, f"{path} {name}")


def wire_lines() -> Iterator[str]:
    for kind, layouts in (("event", wire.EVENTS), ("action", wire.ACTIONS)):
        for code, layout in layouts.items():
            fields = " ".join(f"{name}:{form}" for name, form in layout.fields)
            yield f"wire {kind} {code} {layout.name}: {fields}"


def outer_formats() -> list[str]:
    structs = (struct_line(struct) for struct in classes_of(msgspec.Struct))
    enums = (enum_line(enum) for enum in classes_of(Enum))
    return sorted([*structs, *enums, *command_lines(main, "foxlift"), *wire_lines()])


def test_outer_formats_are_as_listed() -> None:
    assert outer_formats() == LISTED.read_text(encoding="utf-8").splitlines()


if __name__ == "__main__":
    LISTED.write_text("\n".join(outer_formats()) + "\n", encoding="utf-8")
