"""Which director may set a paid token up: its register is changed before the set-up is sent. No I/O.

    claim     event                                       next      what is done
    (none)    ClaimRequested                              CLAIMING  register: empty -> this attempt
    (none)    ClaimRequested with `replaces`              CLAIMING  register: that claim -> this attempt
    CLAIMING  decided: this attempt                       (none)    Granted
    CLAIMING  decided: an earlier attempt of this epoch   CLAIMING  register: that claim -> this attempt
    CLAIMING  decided: anything else                      (none)    OwnedElsewhere
    CLAIMING  no majority of the replicas                 (none)    ClaimUndecided

An earlier attempt of the same boot epoch is replaced without asking its box: the module sends a paid session
again only after a box has confirmed that nothing ran. The claim of another director or boot epoch stands
until its box has reported what became of the set-up (`foxlift.recovery.route`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from foxlift.consensus import register as rg

MAX_FOREIGN_SET_UPS = 100_000
MAX_TRIES = 3  # this director's own earlier attempt is replaced, and once more if there is another


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A register's value: the owner's attempt that was sent or plays, and its box. `written_at`: Unix ms.

    `boot`: the box process that the set-up is for; no other one runs it. Without it no box can prove that the
    set-up never ran.
    """

    owner: str
    boot_epoch: int
    box: str
    set_up: str
    written_at: int = 0
    boot: str = ""

    def write(self) -> str:
        """Encode the claim as a register's value."""
        return msgspec.json.encode(self).decode()


def read_claim(value: str) -> Claim | None:
    """Decode a register's value. None if unreadable: then nobody may set the token up."""
    try:
        return msgspec.json.decode(value, type=Claim)
    except msgspec.MsgspecError:
        return None


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """An attempt is about to be sent. `number` is the caller's. `expires`: end of the token, Unix ms.

    `replaces`: a claim that the register is known to hold and that may be replaced, because its set-up is
    proved not to have run or because this director has taken it over.
    """

    number: int
    token: str
    claim: Claim
    expires: int
    within_ms: float
    replicas: tuple[str, ...]
    replaces: Claim | None = None
    former_replicas: tuple[str, ...] = ()  # replicas before the number of directors changed


@dataclass(frozen=True, slots=True)
class RegisterProgress:
    """A response or timer of the registers."""

    event: rg.ChangeProgress


Event = ClaimRequested | RegisterProgress


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Granted:
    """The register holds this attempt: its set-up may be sent, once."""

    number: int


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """The token belongs to another director or epoch. `claim`: of the register, None if unreadable."""

    number: int
    claim: Claim | None


@dataclass(frozen=True, slots=True)
class ClaimUndecided:
    """No majority of the replicas answered in time: no set-up may be sent, the owner is unknown."""

    number: int


Action = Granted | OwnedElsewhere | ClaimUndecided | rg.Send | rg.StartTimer


@dataclass(slots=True)
class _PendingClaim:
    request: ClaimRequested
    expected: str | None
    tries: int = 1
    change: int = 0


@dataclass(slots=True)
class PaidClaims:
    """All claims in progress in this director. `boot_epoch`: the present one, set when it is renewed."""

    name: str
    boot_epoch: int
    registers: rg.Proposer
    _pending: dict[int, _PendingClaim] = field(default_factory=dict)  # by number of the register change
    _foreign_set_ups: dict[str, None] = field(
        default_factory=dict
    )  # set-ups that other directors own now, oldest first
    _last_change: int = 0

    def __len__(self) -> int:
        return len(self._pending)

    def lose(self, set_up: str) -> None:
        """Another director owns this set-up. It plays: its claim must not be replaced.

        The boot epoch is renewed soon after; until then only this prevents a second set-up.
        """
        self._foreign_set_ups[set_up] = None
        while len(self._foreign_set_ups) > MAX_FOREIGN_SET_UPS:
            del self._foreign_set_ups[next(iter(self._foreign_set_ups))]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; `now` in ms."""
        if isinstance(event, ClaimRequested):
            before = None if event.replaces is None else event.replaces.write()
            return self._change(now, _PendingClaim(event, before))
        return self._carry_out_register(now, self.registers.handle(now, event.event))

    def _change(self, now: float, pending: _PendingClaim) -> list[Action]:
        self._last_change += 1
        pending.change = self._last_change
        self._pending[pending.change] = pending
        request = pending.request
        change = rg.Change(
            pending.change,
            request.token,
            request.replicas,
            request.claim.write(),
            request.expires,
            request.within_ms,
            pending.expected,
            request.former_replicas,
        )
        return self._carry_out_register(now, self.registers.handle(now, change))

    def _carry_out_register(self, now: float, actions: list[rg.Action]) -> list[Action]:
        results: list[Action] = []
        for action in actions:
            match action:
                case rg.Decided(number, value):
                    results += self._decided(now, self._pending.pop(number), value)
                case rg.NoQuorum(number):
                    results.append(ClaimUndecided(self._pending.pop(number).request.number))
                case _:
                    results.append(action)
        return results

    def _decided(self, now: float, pending: _PendingClaim, value: str) -> list[Action]:
        request = pending.request
        if value == request.claim.write():
            return [Granted(request.number)]
        found = read_claim(value)
        own = found is not None and (found.owner, found.boot_epoch) == (self.name, self.boot_epoch)
        if (
            own
            and found is not None
            and found.set_up not in self._foreign_set_ups
            and pending.tries < MAX_TRIES
        ):
            return self._change(now, _PendingClaim(request, value, pending.tries + 1))
        return [OwnedElsewhere(request.number, found)]
