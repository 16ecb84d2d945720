"""The settings of a control server, and of the relays that a director polls."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.config.forms import ConfigError, SourcePosition, bind, read_forms

Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
Pattern = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._*?-]+$")]
Url = Annotated[str, Meta(pattern=r"^http://[A-Za-z0-9.-]+:[0-9]{1,5}$", max_length=300)]
Port = Annotated[int, Meta(ge=0, le=65535)]

MAX_MEMBERS = 9
MAX_RELAYS = 1000


class MemberConfig(msgspec.Struct, frozen=True, tag="member"):
    """A member of the control group and the URL of its listener."""

    name: Name
    url: Url


class RelayConfig(msgspec.Struct, frozen=True, tag="relay"):
    """A control server that a director may poll, and the URL of its listener."""

    name: Name
    url: Url


class ControlConfig(msgspec.Struct, frozen=True):
    """One control server: a group member if `members` contains its name, otherwise a relay.

    `members` are in order of leadership. `relays` and `directors` are the names whose reports and watches the
    server accepts; `*` matches any characters, `?` exactly one.
    """

    name: Name
    zone: Name
    state: str
    members: Annotated[tuple[MemberConfig, ...], Meta(min_length=1, max_length=MAX_MEMBERS)]
    host: str = "127.0.0.1"
    port: Port = 0
    relays: Annotated[tuple[Pattern, ...], Meta(max_length=MAX_RELAYS)] = ("*",)
    directors: Annotated[tuple[Pattern, ...], Meta(max_length=MAX_RELAYS)] = ("*",)
    seed: int = 0
    trust_disk: bool = False  # the operator confirms that the state folder is the one of the last run

    def __post_init__(self) -> None:
        if len({member.name for member in self.members}) != len(self.members):
            raise ValueError("members: two members have the same name")


def load_control(path: Path) -> ControlConfig:
    """Read a control server's settings file.

    Raises ConfigError. Relative paths in the file are relative to the file's folder.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(SourcePosition(str(path), 1, 1), "", f"cannot be read: {error}") from error
    config = bind(read_forms(text, str(path)), ControlConfig, "control")
    return msgspec.structs.replace(config, state=str(path.parent / config.state))
