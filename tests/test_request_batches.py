"""Which messages to a peer's replicas go together, without I/O: bounds, order, and peers without batches."""

from __future__ import annotations

import random
from collections import deque

import pytest

from foxlift.consensus.request_batches import (
    MAX_BATCH_BYTES,
    MAX_IN_FLIGHT,
    BatchNotSupported,
    Event,
    MessageAdded,
    RequestBatches,
    RequestCompleted,
    SendRequest,
)

Batch = tuple[int, ...]


class Peer:
    """A peer that answers requests in any order; an old version refuses batches."""

    def __init__(self, accepts_batches: bool = True) -> None:
        self.batches = RequestBatches()
        self.accepts_batches = accepts_batches
        self.epoch = 1
        self.in_flight: list[SendRequest] = []
        self.sent: list[Batch] = []
        self.answered: list[int] = []
        self.sizes: dict[int, int] = {}

    def handle(self, event: Event) -> None:
        for send in self.batches.handle(event):
            self.in_flight.append(send)
            self.sent.append(send.message_ids)
        assert len(self.in_flight) <= MAX_IN_FLIGHT

    def add(self, count: int = 1, size_bytes: int = 100) -> None:
        for _ in range(count):
            message_id = len(self.sizes) + 1
            self.sizes[message_id] = size_bytes
            self.handle(MessageAdded(message_id, size_bytes))

    def answer(self, place: int = 0) -> None:
        send = self.in_flight.pop(place)
        if len(send.message_ids) > 1 and not self.accepts_batches:
            self.handle(BatchNotSupported(send.request_id))
            return
        self.answered.extend(send.message_ids)
        epoch = self.epoch if len(send.message_ids) == 1 else None
        self.handle(RequestCompleted(send.request_id, epoch))

    def answer_all(self) -> None:
        while self.in_flight:
            self.answer()


def test_messages_beyond_those_in_flight_wait_and_go_together_in_their_order() -> None:
    peer = Peer()
    peer.add(10)
    assert peer.sent == [(1,), (2,), (3,), (4,)]
    peer.answer(2)
    assert peer.sent[4:] == [(5, 6, 7, 8, 9, 10)]
    peer.answer_all()
    assert sorted(peer.answered) == list(range(1, 11))


def test_a_request_holds_no_more_than_the_listener_accepts_but_at_least_one_message() -> None:
    peer = Peer()
    peer.add(MAX_IN_FLIGHT)
    peer.add(1, MAX_BATCH_BYTES + 1)
    peer.add(3, MAX_BATCH_BYTES // 2 - 1)
    peer.answer_all()
    assert peer.sent[MAX_IN_FLIGHT:] == [(5,), (6, 7), (8,)]


def test_after_a_refused_batch_its_messages_go_one_by_one_before_later_ones() -> None:
    peer = Peer(accepts_batches=False)
    peer.add(7)
    peer.answer()
    peer.add(2)
    peer.answer(MAX_IN_FLIGHT - 1)
    peer.answer_all()
    assert peer.sent[MAX_IN_FLIGHT:] == [(5, 6, 7), (5,), (6,), (7,), (8,), (9,)]


def test_a_peer_in_a_new_epoch_gets_batches_again() -> None:
    peer = Peer(accepts_batches=False)
    peer.add(7)
    peer.answer_all()
    peer.epoch, peer.accepts_batches = 2, True
    peer.add(9)
    peer.answer_all()
    assert peer.sent[-1] == (12, 13, 14, 15, 16)


def test_events_of_a_request_that_is_not_in_flight_change_nothing() -> None:
    peer = Peer()
    peer.add(MAX_IN_FLIGHT + 2)
    assert peer.batches.handle(RequestCompleted(99, 1)) == []
    assert peer.batches.handle(BatchNotSupported(99)) == []
    assert len(peer.sent) == MAX_IN_FLIGHT


@pytest.mark.parametrize("seed", range(30))
def test_each_message_is_answered_once_in_bounded_requests_in_any_order_of_answers(seed: int) -> None:
    chance = random.Random(seed)
    peer = Peer(accepts_batches=chance.random() < 0.5)
    for _ in range(300):
        choice = chance.random()
        if choice < 0.55:
            peer.add(
                chance.randrange(1, 4), chance.choice((80, 200, MAX_BATCH_BYTES // 3, MAX_BATCH_BYTES + 1))
            )
        elif choice < 0.95 and peer.in_flight:
            peer.answer(chance.randrange(len(peer.in_flight)))
        elif choice >= 0.98:
            peer.epoch += 1
            peer.accepts_batches = not peer.accepts_batches
    peer.answer_all()
    assert sorted(peer.answered) == sorted(peer.sizes)
    for message_ids in peer.sent:
        size_bytes = sum(peer.sizes[message_id] for message_id in message_ids) + len(message_ids) - 1
        assert len(message_ids) == 1 or size_bytes <= MAX_BATCH_BYTES
        assert list(message_ids) == sorted(message_ids)
    first_sent = dict.fromkeys(message_id for message_ids in peer.sent for message_id in message_ids)
    assert list(first_sent) == sorted(first_sent)
    waiting: deque[MessageAdded] = peer.batches._waiting
    assert not waiting and not peer.batches._in_flight
