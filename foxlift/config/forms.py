"""S-expressions with source positions, and their binding to msgspec structures.

A structure is written as a list of forms, one for each field: `(key value ...)`, with `-` for `_` in the key.
The value of a field with a structure type is that structure's forms. A field with several structures has one
form for each, headed by the structure's tag: `(classes (class (name "a")) (class (name "b")))`. A field with
several plain values lists them: `(ladder-kb 200 500)`. Comments run from `;` to the end of the line.
"""

from __future__ import annotations

import types
import typing
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
import sexpdata

MAX_CHARS = 1 << 20  # larger files are rejected before parsing
MAX_DEPTH = 40  # the parser recurses at each bracket

T = TypeVar("T", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class SourcePosition:
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class ConfigError(ValueError):
    """A settings file is invalid; names position, key and cause."""

    def __init__(self, position: SourcePosition, key: str, message: str) -> None:
        super().__init__(f"{position}: {key}: {message}" if key else f"{position}: {message}")
        self.position, self.key, self.message = position, key, message


class _Atom:
    __slots__ = ("offset", "value")

    def __init__(self, value: object, offset: int) -> None:
        self.value, self.offset = value, offset


class _List(list[Any]):
    offset = 0


class _Parser(sexpdata.Parser):  # type: ignore[misc]  # the library has no types
    """The library's parser, extended to record the offset of each atom and list."""

    def parse_str(self, i: int) -> tuple[int, Any]:
        end, value = super().parse_str(i)
        return end, _Atom(str(value), i)

    def parse_atom(self, i: int) -> tuple[int, Any]:
        end, value = super().parse_atom(i)
        return end, _Atom(value, i)

    def parse_sexp(self, i: int) -> tuple[int, Any]:
        end, items = super().parse_sexp(i)
        found = _List(items)
        found.offset = max(i - 1, 0)
        return end, found


class _Source:
    def __init__(self, text: str, file: str) -> None:
        self.text, self.file = text, file

    def position(self, offset: int) -> SourcePosition:
        before = self.text[:offset]
        return SourcePosition(self.file, before.count("\n") + 1, offset - (before.rfind("\n") + 1) + 1)

    def error(self, offset: int, key: str, message: str) -> ConfigError:
        return ConfigError(self.position(offset), key, message)


@dataclass(frozen=True)
class Forms:
    """A parsed file: its top-level forms, as input of `bind`."""

    items: _List
    source: _Source


def _check_brackets(source: _Source) -> None:
    """Report an unclosed or surplus bracket with its position.

    The library does not name the position of either, and recurses without a bound.
    """
    text, open_offsets, i = source.text, [], 0
    pairs = {")": "(", "]": "[", "}": "{"}
    while i < len(text):
        char = text[i]
        if char == '"':
            start, i = i, i + 1
            while i < len(text) and text[i] != '"':
                i += 2 if text[i] == "\\" else 1
            if i >= len(text):
                raise source.error(start, "", "this quoted text is not closed")
        elif char == "\\":
            i += 1
        elif char == ";":
            end = text.find("\n", i)
            i = len(text) if end < 0 else end
        elif char in "([{":
            if char != "(":
                raise source.error(i, "", f"{char!r} is not supported; lists are written in round brackets")
            open_offsets.append(i)
            if len(open_offsets) > MAX_DEPTH:
                raise source.error(i, "", f"lists are nested deeper than {MAX_DEPTH}")
        elif char in pairs:
            if not open_offsets or char != ")":
                raise source.error(i, "", f"{char!r} closes no list")
            open_offsets.pop()
        elif char == "'":
            raise source.error(i, "", "quoting with ' is not supported")
        i += 1
    if open_offsets:
        raise source.error(open_offsets[-1], "", "this list is not closed")
    if text.endswith("\\"):
        raise source.error(len(text) - 1, "", "the file ends after a backslash")


def read_forms(text: str, file: str) -> Forms:
    """Parse the text of a settings file.

    Raises ConfigError for text that is too large, has an unclosed list or is not S-expressions.
    """
    source = _Source(text, file)
    if len(text) > MAX_CHARS:
        raise source.error(0, "", f"{len(text)} characters; {MAX_CHARS} are allowed")
    if "\0" in text:
        raise source.error(text.index("\0"), "", "the file contains a zero byte")
    _check_brackets(source)
    try:
        items = _Parser(text, nil=None, true="true", false="false").parse()
    except Exception as error:  # the library raises several exception types, none with a position
        raise source.error(0, "", f"not S-expressions: {error}") from error
    return Forms(items, source)


def bind(forms: Forms, kind: type[T], head: str) -> T:
    """Read the only top-level form, which must start with `head`, into a `kind`.

    Raises ConfigError with the position of an unknown, missing, repeated or wrongly typed key.
    """
    source = forms.source
    if len(forms.items) != 1 or not isinstance(forms.items[0], _List):
        raise source.error(0, head, f"expected one form: ({head} ...)")
    form = forms.items[0]
    if not form or _symbol(form[0]) != head:
        raise source.error(form.offset, head, f"expected ({head} ...)")
    return typing.cast(T, _read_struct(source, form, form[1:], kind, head))


def _symbol(item: object) -> str | None:
    if isinstance(item, _Atom) and isinstance(item.value, sexpdata.Symbol):
        return str(item.value.value())
    return None


def _offset_of(item: Any, fallback: int) -> int:
    return getattr(item, "offset", fallback)


def _read_struct(
    source: _Source, form: _List, items: list[Any], kind: type[msgspec.Struct], path: str
) -> Any:
    fields = {field.encode_name.replace("_", "-"): field for field in msgspec.structs.fields(kind)}
    given: dict[str, Any] = {}
    offsets: dict[str, int] = {}
    for item in items:
        key = _symbol(item[0]) if isinstance(item, _List) and item else None
        if key is None:
            raise source.error(_offset_of(item, form.offset), path, "expected (key value ...)")
        if key not in fields:
            known = ", ".join(sorted(fields))
            raise source.error(item.offset, f"{path}.{key}", f"unknown key; expected one of: {known}")
        if key in offsets:
            raise source.error(item.offset, f"{path}.{key}", "stated twice")
        offsets[key] = item.offset
        field = fields[key]
        given[field.name] = _read_value(source, item, item[1:], field.type, f"{path}.{key}")
    for key, field in fields.items():
        if field.required and key not in offsets:
            raise source.error(form.offset, f"{path}.{key}", "missing")
    try:
        return kind(**given)
    except (ValueError, TypeError) as error:
        raise source.error(form.offset, path, str(error)) from error


def _unwrap_type(kind: Any) -> Any:
    """The type without Annotated and `| None`."""
    while typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        kinds = [arg for arg in typing.get_args(kind) if arg is not type(None)]
        if len(kinds) == 1:
            return _unwrap_type(kinds[0])
    return kind


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _read_value(source: _Source, form: _List, items: list[Any], kind: Any, path: str) -> Any:
    plain = _unwrap_type(kind)
    if _is_struct(plain):
        return _read_struct(source, form, items, plain, path)
    if typing.get_origin(plain) is tuple:
        inner = typing.get_args(plain)[0]
        if _is_struct(_unwrap_type(inner)):
            return tuple(_read_tagged(source, form, item, _unwrap_type(inner), path) for item in items)
        values = [_read_atom(source, form, item, path) for item in items]
        return _convert(source, form, values, kind, path)
    if len(items) != 1:
        raise source.error(form.offset, path, f"expected one value, found {len(items)}")
    return _convert(
        source, form, _read_atom(source, form, items[0], path), kind, path, _offset_of(items[0], form.offset)
    )


def _read_tagged(source: _Source, form: _List, item: Any, kind: type[msgspec.Struct], path: str) -> Any:
    tag = kind.__struct_config__.tag
    if not isinstance(item, _List) or not item or _symbol(item[0]) != tag:
        raise source.error(_offset_of(item, form.offset), path, f"expected ({tag} ...)")
    return _read_struct(source, item, item[1:], kind, f"{path}.{tag}")


def _read_atom(source: _Source, form: _List, item: Any, path: str) -> Any:
    if not isinstance(item, _Atom):
        raise source.error(_offset_of(item, form.offset), path, "expected a plain value, found a list")
    symbol = _symbol(item)
    return item.value if symbol is None else symbol


def _convert(
    source: _Source, form: _List, value: Any, kind: Any, path: str, offset: int | None = None
) -> Any:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        message = str(error).replace("`", "")
        raise source.error(
            form.offset if offset is None else offset, path, f"{message}; found {value!r}"
        ) from error
