"""Figures of claims of paid tokens: placing a register, the two rounds of a claim, a holder's state.

Claimant and holders are the program's own; messages are encoded as they travel and handed over in this
process, so processor times are of the control parts and codecs without HTTP and without the disk.
"""

from __future__ import annotations

import itertools
import random

import msgspec

from bench.scale.figures import Figure, mean_figure
from bench.scale.timing import memory_of, processor_of
from bench.scale.virtual_fleet import answer_bytes, request_bytes
from foxlift.consensus import Accept, Ballot, Prepare, Proposer, Replica, register, replicas_of
from foxlift.consensus import Response as RegisterAnswer
from foxlift.consensus import replica as register_replica
from foxlift.director.cluster.messages import RegisterRequest, RegisterResponse
from foxlift.recovery import claims as recovery_claims

HOLDERS = 5
"""Of a token's register: the default of the settings."""
NOW_MS, EXPIRES_MS, LONGEST_MS = 1_800_000_000_000, 1_800_003_600_000, 86_400_000
PLACED, CLAIMED, MOVED = 100, 200, 3_000


def claim_of(number: int) -> recovery_claims.Claim:
    """A claim with names as long as those of a large fleet."""
    set_up = f"d{number % 4_200}.19a1b2c3d4e-{number}"
    owner, server = f"d{number % 4_200}", f"s{number % 9_999}"
    return recovery_claims.Claim(owner, NOW_MS, server, set_up, NOW_MS, "b1234567")


def names_of(size: int) -> list[str]:
    """The names of a fleet."""
    return [f"d{k}" for k in range(size)]


def placing(size: int, seed: int) -> list[Figure]:
    """Which directors hold a token's register, and how many tokens move when the fleet grows by one."""
    names, numbers = names_of(size), itertools.count()
    taken = processor_of(lambda: replicas_of(f"{seed}-{next(numbers)}", names, HOLDERS), PLACED)
    larger = [*names, f"d{size}"]
    tokens = [f"{seed}-{k}" for k in range(MOVED)]
    moved = sum(larger[-1] in replicas_of(token, larger, HOLDERS) for token in tokens)
    ratio = moved / MOVED
    at_least = max(ratio, 1 / MOVED)  # none seen is not none
    return [
        mean_figure("placing one claim's register", "s", taken),
        Figure(
            "registers that one more director moves", "ratio", ratio, (at_least * (1 - ratio) / MOVED) ** 0.5
        ),
    ]


class ClaimRound:
    """One claimant and its holders, over encoded messages."""

    def __init__(self, seed: int) -> None:
        self.names = names_of(HOLDERS)
        self.holders = {name: Replica(LONGEST_MS, 10_000) for name in self.names}
        registers = Proposer(f"claimant.{NOW_MS}", seed)
        self.claims = recovery_claims.PaidClaims("claimant", NOW_MS, registers)
        self.messages = self.bytes = 0
        self._numbers = itertools.count(1)

    def claim(self) -> None:
        """Make one claim, to its end."""
        number = next(self._numbers)
        want = recovery_claims.ClaimRequested(
            number, f"t/token-{number:012}", claim_of(number), EXPIRES_MS, 500.0, tuple(self.names)
        )
        pending = list(self.claims.handle(NOW_MS, want))
        held = False
        while pending:
            action = pending.pop(0)
            if isinstance(action, register.Send):
                answered = register.ResponseReceived(action.request_id, self._ask(action))
                pending += self.claims.handle(NOW_MS, recovery_claims.RegisterProgress(answered))
            held |= isinstance(action, recovery_claims.Granted)
        if not held:
            raise RuntimeError("a claim that nobody contests was not held")

    def _ask(self, send: register.Send) -> RegisterAnswer:
        asked = msgspec.json.encode(RegisterRequest("claimant", NOW_MS, send.message))
        read = msgspec.json.decode(asked, type=RegisterRequest)
        number = next(self._numbers)
        holder = self.holders[send.to]
        answer = None
        for action in holder.handle(NOW_MS, register_replica.RequestReceived(number, read.ask)):
            if isinstance(action, register_replica.Store):
                msgspec.json.encode(action.record)
                replies = holder.handle(NOW_MS, register_replica.Stored(number))
                answer = next(reply.message for reply in replies if isinstance(reply, register_replica.Reply))
        assert answer is not None
        told = msgspec.json.encode(RegisterResponse(send.to, NOW_MS, answer))
        self.messages += 2
        self.bytes += request_bytes("/peers/registers", asked) + answer_bytes(told)
        return msgspec.json.decode(told, type=RegisterResponse).answer


def claim_round(size: int, seed: int) -> list[Figure]:
    """What one claim costs all that take part in it, the same whatever the fleet's size."""
    del size
    rounds = ClaimRound(seed)
    taken = processor_of(rounds.claim, CLAIMED)
    claims = CLAIMED + 1
    return [
        mean_figure("one claim: processor of claimant and holders", "s", taken),
        Figure("one claim: messages of claimant and holders", "1", rounds.messages / claims, 0.0),
        Figure("one claim: bytes of claimant and holders", "B", rounds.bytes / claims, 0.0),
    ]


def holder_state(size: int, seed: int) -> list[Figure]:
    """A holder's memory and disk with so many claims."""
    chance = random.Random(seed)
    holder = Replica(LONGEST_MS, 10_000)
    ballot = Ballot(1, f"d1.{NOW_MS}")

    def fill() -> int:
        disk_bytes = 0
        for number in range(size):
            key = f"t/{chance.getrandbits(64):016x}"
            message = Prepare(key, ballot, EXPIRES_MS)
            holder.handle(NOW_MS, register_replica.RequestReceived(2 * number, message))
            holder.handle(NOW_MS, register_replica.Stored(2 * number))
            accept = msgspec.json.decode(
                msgspec.json.encode(Accept(key, ballot, EXPIRES_MS, claim_of(number).write())),
                type=Accept,
            )
            for action in holder.handle(NOW_MS, register_replica.RequestReceived(2 * number + 1, accept)):
                if isinstance(action, register_replica.Store):
                    disk_bytes += len(msgspec.json.encode(action.record))
            holder.handle(NOW_MS, register_replica.Stored(2 * number + 1))
        return disk_bytes

    disk_bytes, memory = memory_of(fill)
    forgetting = processor_of(lambda: _forget(holder), 5)
    return [
        Figure("register holder's memory", "B", float(memory), 0.0),
        Figure("register holder's records on disk", "B", float(disk_bytes), 0.0),
        mean_figure("looking for registers that are over", "s", forgetting),
    ]


def _forget(holder: Replica) -> None:
    holder._expiry_checked_at = 0.0
    holder._delete_expired(NOW_MS)
