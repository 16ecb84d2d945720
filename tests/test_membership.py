"""The box list: EDS in JSON, and the client's state machine.

The failures guarded against: a list that is misread or accepted with errors, and a client whose published
list differs from its own after deltas, failures or late responses.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxlift import interface as fl
from foxlift.membership import (
    BoxEntry,
    BoxList,
    CacheList,
    ListDelta,
    ListError,
    ListFailed,
    ListReceived,
    ListWatch,
    Poll,
    PollDue,
    PublishList,
    SchedulePoll,
    read_response,
)
from foxlift.membership.boxlist import box_number, encode_full, lb_endpoint


def box(name: str, status: fl.Status = fl.Status.READY) -> BoxEntry:
    return BoxEntry(name, box_number(name), "127.0.0.1", 8000, "east", "std", 3, status, 1.5, 17.0)


def test_a_list_is_read_back_as_it_was_written() -> None:
    held = BoxList(7, (box("a"), box("b", fl.Status.DRAINING), replace(box("c"), zone="west")))
    assert read_response(encode_full(held)) == held


def test_envoys_own_types_can_read_the_encoded_list() -> None:
    from envoy.config.endpoint.v3 import endpoint_pb2
    from google.protobuf import json_format

    body = json.loads(encode_full(BoxList(7, (box("a"), box("b", fl.Status.DRAINING)))))
    assignment = body["resources"][0]
    assignment.pop("@type")
    parsed = json_format.ParseDict(assignment, endpoint_pb2.ClusterLoadAssignment())
    (group,) = parsed.endpoints
    assert group.locality.zone == "east"
    assert [e.endpoint.address.socket_address.port_value for e in group.lb_endpoints] == [8000, 8000]
    for snake in (True, False):  # both spellings of field names are valid
        again = json.loads(json_format.MessageToJson(parsed, preserving_proto_field_name=snake))
        full = json.dumps({"version_info" if snake else "versionInfo": "7", "resources": [again]}).encode()
        found = read_response(full)
        assert isinstance(found, BoxList)
        assert found.boxes == (box("a"), box("b", fl.Status.DRAINING))


def test_a_delta_names_changed_and_removed_boxes() -> None:
    body = {
        "system_version_info": "9",
        "resources": [{"name": "a", "version": "9", "resource": lb_endpoint(box("a", fl.Status.DRAINING))}],
        "removed_resources": ["b"],
    }
    assert read_response(json.dumps(body).encode()) == ListDelta(9, (box("a", fl.Status.DRAINING),), ("b",))


def _damage(value: Any, path: list[Any], new: Any) -> Any:
    found = value
    for key in path[:-1]:
        found = found[key]
    found[path[-1]] = new
    return value


@pytest.mark.parametrize(
    ("path", "new", "words"),
    [
        (["version_info"], "x", "version"),
        (["version_info"], 7, "Expected str"),
        (["resources"], {}, "Expected array"),
        (["health_status"], "BROKEN", "a: health_status"),
        (["metadata", "filter_metadata", "foxlift", "cell"], -1, "cell"),
        (["metadata", "filter_metadata", "foxlift", "name"], "a b", "name"),
        (["endpoint", "address", "socket_address", "port_value"], 0, "port_value"),
        (["load_balancing_weight"], 0, "load_balancing_weight"),
    ],
)
def test_an_invalid_list_is_refused_and_the_error_names_the_field(
    path: list[Any], new: Any, words: str
) -> None:
    body = json.loads(encode_full(BoxList(7, (box("a"),))))
    target = body if path[0] in body else body["resources"][0]["endpoints"][0]["lb_endpoints"][0]
    _damage(target, path, new)
    with pytest.raises(ListError, match=words):
        read_response(json.dumps(body).encode())


def test_a_box_that_is_listed_twice_is_refused() -> None:
    with pytest.raises(ListError, match="a: listed twice"):
        read_response(encode_full(BoxList(7, (box("a"), box("a")))))


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    with pytest.raises(ListError):
        read_response(data)


# ---- The watch --------------------------------------------------------------------------------------------
def names_of(watch: ListWatch) -> set[str]:
    return set(watch.boxes)


def started(version: int = 5) -> ListWatch:
    watch = ListWatch(None, 100.0, 1)
    assert watch.handle(PollDue()) == [Poll(None)]
    watch.handle(ListReceived(BoxList(version, (box("a"), box("b")))))
    return watch


def test_the_cached_list_is_published_first_and_the_full_one_requested() -> None:
    cached = BoxList(5, (box("a"),))
    watch = ListWatch(cached, 100.0, 1)
    assert watch.handle(PollDue()) == [PublishList(fl.ListKind.CACHED, cached.boxes), Poll(None)]
    update = BoxList(3, (box("b"),))  # the service's versions may have restarted
    assert watch.handle(ListReceived(update)) == [
        PublishList(fl.ListKind.FULL, update.boxes),
        CacheList(update),
        Poll(3),
    ]


def test_a_delta_is_published_with_removed_boxes_as_gone() -> None:
    watch = started()
    published, cached, poll = watch.handle(ListReceived(ListDelta(6, (box("c"),), ("a", "nobody"))))
    assert published == PublishList(fl.ListKind.DELTA, (box("c"), replace(box("a"), status=fl.Status.GONE)))
    assert isinstance(cached, CacheList)
    assert {b.name for b in cached.boxes.boxes} == {"b", "c"}
    assert poll == Poll(6)


@pytest.mark.parametrize("version", [4, 5])
def test_an_old_list_or_delta_changes_nothing(version: int) -> None:
    watch = started()
    old = box("a", fl.Status.DRAINING)
    assert watch.handle(ListReceived(ListDelta(version, (old,), ()))) == [Poll(5)]
    # an old full list may be a late response or a restarted service: the next full list shows which
    assert watch.handle(ListReceived(BoxList(version, (old,)))) == [Poll(None)]
    assert watch.boxes["a"].status is fl.Status.READY
    published = watch.handle(ListReceived(BoxList(version, (old,))))[0]
    assert published == PublishList(fl.ListKind.FULL, (old,))


def test_failures_are_published_and_polls_back_off() -> None:
    watch = started()
    waits = []
    for _ in range(8):
        published, later = watch.handle(ListFailed())
        assert published == PublishList(fl.ListKind.FAILED)
        assert isinstance(later, SchedulePoll)
        waits.append(later.delay_ms)
        assert watch.handle(PollDue()) == [Poll(5)]
    assert 50 <= waits[0] <= 100
    assert 800 <= waits[-1] <= 1600
    assert names_of(watch) == {"a", "b"}
    watch.handle(ListFailed(unreadable=True))
    assert watch.handle(PollDue()) == [Poll(None)]


@given(
    st.lists(
        st.one_of(
            st.builds(ListFailed, st.booleans()),
            st.just(PollDue()),
            st.just(ListReceived(None)),
            st.builds(
                lambda v, names, gone: ListReceived(ListDelta(v, tuple(map(box, names)), tuple(gone))),
                st.integers(0, 9),
                st.sets(st.sampled_from("abc")),
                st.sets(st.sampled_from("abc")),
            ),
            st.builds(
                lambda v, names: ListReceived(BoxList(v, tuple(map(box, names)))),
                st.integers(0, 9),
                st.sets(st.sampled_from("abc")),
            ),
        ),
        max_size=30,
    )
)
def test_the_published_list_equals_the_clients_list(script: list[Any]) -> None:
    watch = ListWatch(None, 100.0, 1)
    published: dict[str, BoxEntry] = {}
    polls = 0
    for event in [PollDue(), *script]:
        actions = watch.handle(event)
        polls += sum(isinstance(a, Poll | SchedulePoll) for a in actions)
        for action in actions:
            if isinstance(action, PublishList) and action.kind is not fl.ListKind.FAILED:
                if action.kind is fl.ListKind.FULL:
                    published = {}
                published.update({b.name: b for b in action.boxes})
                published = {n: b for n, b in published.items() if b.status is not fl.Status.GONE}
        assert published == watch.boxes
