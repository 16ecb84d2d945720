"""Who may set a paid token up: its register in common, changed before each set-up leaves. No I/O, no clock.

    claim     event                                      next      what is done
    (none)    Want                                       ASKED     register: empty -> this attempt
    (none)    Want, instead of a proved one              ASKED     register: that -> this attempt
    ASKED     decided: this attempt                      (none)    Held
    ASKED     decided: an earlier attempt of this run    ASKED     register: that -> this attempt
    ASKED     decided: anything else                     (none)    Elsewhere
    ASKED     unreached                                  (none)    Unclaimed

An earlier attempt of this run is replaced without asking anybody: the module sends a paid session again only
after a box's own word that nothing ran. What another director or another run wrote there stands until its
box has told what became of it (`foxlift.recovery.settle`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from foxlift.consensus import register as rg

MOST_LOST = 100_000
TRIES = 3  # an own earlier attempt, then perhaps one more


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A register's value: which attempt is out or plays, whose, and where; `at`: when written, Unix ms.

    `boot`: the box's process that the set-up is for: no other one runs it. Where that is not known, no box
    can prove anything of it.
    """

    owner: str
    run: int
    box: str
    set_up: str
    at: int = 0
    boot: str = ""

    def write(self) -> str:
        """The value as the registers hold it."""
        return msgspec.json.encode(self).decode()


def read_claim(value: str) -> Claim | None:
    """None where it cannot be read: then nobody may set the token up."""
    try:
        return msgspec.json.decode(value, type=Claim)
    except msgspec.MsgspecError:
        return None


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Want:
    """An attempt is about to leave. `expires`: Unix ms, of the token. `number` is the caller's.

    `instead_of`: what the register is known to hold and may be replaced: its set-up was proved not to have
    run, or it is what this director has taken over.
    """

    number: int
    token: str
    claim: Claim
    expires: int
    within_ms: float
    replicas: tuple[str, ...]
    instead_of: Claim | None = None
    former_replicas: tuple[str, ...] = ()  # replicas before the number of directors changed


@dataclass(frozen=True, slots=True)
class OfRegister:
    """Something came of the registers: an answer, a time."""

    event: rg.ChangeProgress


Event = Want | OfRegister


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Held:
    """The register holds this attempt: it may leave, once."""

    number: int


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """The token is another's, or an earlier run's: what its register holds; None: it cannot be read."""

    number: int
    claim: Claim | None


@dataclass(frozen=True, slots=True)
class Unclaimed:
    """Two replicas could not be had in time: nothing may leave, and nothing is known."""

    number: int


Action = Held | Elsewhere | Unclaimed | rg.Send | rg.StartTimer


@dataclass(slots=True)
class _Asked:
    want: Want
    expected: str | None
    tries: int = 1
    change: int = 0


@dataclass(slots=True)
class PaidClaims:
    """Every claim that this director is making. `run` is that of the present: it may be renewed."""

    name: str
    run: int
    registers: rg.Proposer
    _asked: dict[int, _Asked] = field(default_factory=dict)  # by the change's number
    _lost: dict[str, None] = field(default_factory=dict)  # set-ups that others own now, the oldest first
    _last: int = 0

    def __len__(self) -> int:
        return len(self._asked)

    def lose(self, set_up: str) -> None:
        """Another director owns this set-up: it plays, so its claim is no earlier attempt that never ran.

        The run is renewed soon after; until then this alone keeps a second set-up from being sent.
        """
        self._lost[set_up] = None
        while len(self._lost) > MOST_LOST:
            del self._lost[next(iter(self._lost))]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms."""
        if isinstance(event, Want):
            before = None if event.instead_of is None else event.instead_of.write()
            return self._change(now, _Asked(event, before))
        return self._came(now, self.registers.handle(now, event.event))

    def _change(self, now: float, asked: _Asked) -> list[Action]:
        self._last += 1
        asked.change = self._last
        self._asked[asked.change] = asked
        want = asked.want
        change = rg.Change(
            asked.change,
            want.token,
            want.replicas,
            want.claim.write(),
            want.expires,
            want.within_ms,
            asked.expected,
            want.former_replicas,
        )
        return self._came(now, self.registers.handle(now, change))

    def _came(self, now: float, actions: list[rg.Action]) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            match action:
                case rg.Decided(number, value):
                    out += self._decided(now, self._asked.pop(number), value)
                case rg.NoQuorum(number):
                    out.append(Unclaimed(self._asked.pop(number).want.number))
                case _:
                    out.append(action)
        return out

    def _decided(self, now: float, asked: _Asked, value: str) -> list[Action]:
        want = asked.want
        if value == want.claim.write():
            return [Held(want.number)]
        found = read_claim(value)
        own = found is not None and (found.owner, found.run) == (self.name, self.run)
        if own and found is not None and found.set_up not in self._lost and asked.tries < TRIES:
            return self._change(now, _Asked(want, value, asked.tries + 1))
        return [Elsewhere(want.number, found)]
