"""The codecs of the platform: input split at every byte, invalid input, and random bytes."""

from __future__ import annotations

import contextlib
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_world import config, member, settings

from foxlift import interface as fl
from foxlift.platform import discovery_watch, rtsp, viewers
from foxlift.platform.settings import ConfigError, read
from foxlift.standins.platform import finish_line, frame, record, rtsp_answer, rtsp_request, start_line

TAG = "9b1f03aa5c7e2d41"
GOOD = rtsp_answer(200, TAG, b"v=0\r\nc=IN IP4 10.4.7.9\r\n")


# ---- RTSP -------------------------------------------------------------------------------------------------
def test_responses_and_requests_mixed_at_every_split() -> None:
    data = (
        rtsp_answer(100, TAG)
        + GOOD
        + rtsp_request("ANNOUNCE", TAG, "Fail-Word: link\r\nX-Reading: 0.7\r\n")
        + rtsp_answer(453, "0" * 16, more="Link-State: x0:0.9\r\n")
        + rtsp_request("TEARDOWN", TAG, "Reason: cause=16\r\n")
    )
    whole = rtsp.MessageReader().feed(data)
    assert [type(m).__name__ for m in whole] == ["Response", "Response", "Request", "Response", "Request"]
    assert whole[1] == rtsp.Response(
        200, 1, TAG, {"cseq": "1", "session": TAG, "content-length": "24"}, b"v=0\r\nc=IN IP4 10.4.7.9\r\n"
    )
    for cut in range(1, len(data)):
        reader = rtsp.MessageReader()
        assert reader.feed(data[:cut]) + reader.feed(data[cut:]) == whole
        assert reader.pending == 0
    reader = rtsp.MessageReader()
    assert [m for byte in data for m in reader.feed(bytes([byte]))] == whole


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01\x02\x03",
        b"HTTP/1.1 200 OK\r\n",
        GOOD.replace(b"Content-Length: 24", b"Content-Length: 23"),
        GOOD.replace(b"Content-Length: 24", b"Content-Length: -1"),
        GOOD.replace(b"Content-Length: 24", b"Content-Length: 3000000000"),
        GOOD.replace(b"Content-Length: 24", b"Content-Length: 0x18"),
        GOOD.replace(b"Content-Length: 24", b"Content-Length: 24\r\nContent-Length: 24"),
        GOOD.replace(b"Content-Length: 24\r\n", b""),
        GOOD.replace(b"CSeq: 1\r\n", b"CSeq: 1\r\nCSeq: 2\r\n"),
        GOOD.replace(b"CSeq: 1", b"CSeq: one"),
        GOOD.replace(b"200", b"2x0"),
        GOOD.replace(b"Session", b"Sess\xffion"),
        GOOD.replace(b"Session: ", b"Session "),
        GOOD.replace(b"RTSP/1.0", b"RTSP/9.9"),
        b"RTSP/1.0 200 " + b"x" * 17000,
        rtsp_answer(200, TAG, b"x" * 17000),
        rtsp_request("TEARDOWN", TAG).replace(b" RTSP/1.0", b""),
    ],
)
def test_invalid_bytes_end_the_parsing_of_a_connection(data: bytes) -> None:
    reader = rtsp.MessageReader()
    with pytest.raises(rtsp.ProtocolError):
        reader.feed(data)
    with pytest.raises(rtsp.ProtocolError):  # later valid bytes are not parsed either
        reader.feed(GOOD)


def test_a_response_with_a_too_small_length_is_not_returned_before_the_error() -> None:
    """If bytes of a body follow a response, that response is the corrupt one."""
    with pytest.raises(rtsp.ProtocolError):
        rtsp.MessageReader().feed(GOOD.replace(b"Content-Length: 24", b"Content-Length: 10"))


def test_a_truncated_response_is_no_message() -> None:
    for cut in range(len(GOOD)):
        assert rtsp.MessageReader().feed(GOOD[:cut]) == []


@given(st.binary(max_size=600))
def test_random_bytes_from_servers_raise_protocol_error_and_nothing_else(data: bytes) -> None:
    for prefix in (b"", b"RTSP/1.0 200 OK\r\n", GOOD):
        with contextlib.suppress(rtsp.ProtocolError):
            rtsp.MessageReader().feed(prefix + data)


@given(st.data())
def test_one_changed_byte_never_makes_a_response_for_another_session(data: Any) -> None:
    at = data.draw(st.integers(0, len(GOOD) - 1))
    damaged = GOOD[:at] + bytes([data.draw(st.integers(0, 255))]) + GOOD[at + 1 :]
    try:
        messages = rtsp.MessageReader().feed(damaged)
    except rtsp.ProtocolError:
        return
    for message in messages:
        if isinstance(message, rtsp.Response) and message.status == 200 and message.session == TAG:
            assert len(message.body) <= 24


def test_messages_to_servers_have_the_form_of_the_protocol() -> None:
    data = rtsp.setup(TAG, "7f3a9c21e0b4d655", "paid", 2, 1500, b"abc\r\n")
    assert data.startswith(b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\n")
    for line in (b"CSeq: 1", b"Session: " + TAG.encode(), b"Call-Kind: paid", b"Answer-Within: 1500"):
        assert b"\r\n" + line + b"\r\n" in data
    assert data.endswith(b"Content-Length: 5\r\n\r\nabc\r\n")
    assert b"Reason" not in rtsp.cancel_setup(TAG)
    assert b"\r\nReason: cause=31\r\n" in rtsp.release(TAG, 31)
    assert rtsp.ping(TAG).startswith(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\n")


# ---- JSON lines -------------------------------------------------------------------------------------------
def test_lines_at_every_split_and_several_in_one_read() -> None:
    data = (
        start_line(TAG)
        + finish_line(TAG, 34)
        + b'{"verb":"ECHO","tag":"%s","opts":{},"rc":0}\n' % TAG.encode()
    )
    whole = [viewers.read_line(line) for line in viewers.LineReader().feed(data)]
    assert [type(m).__name__ for m in whole] == ["Start", "Finish", "Echo"]
    for cut in range(1, len(data)):
        reader = viewers.LineReader()
        lines = reader.feed(data[:cut]) + reader.feed(data[cut:])
        assert [viewers.read_line(line) for line in lines] == whole
        assert reader.pending == 0


def test_all_fields_of_a_set_up_are_read() -> None:
    extras = "home:4;copies:3;top:2;viewer:00000000b4d65521;again:1;at:s-00c41f7a"
    found = viewers.read_line(start_line(TAG, "paid", opts={"left": 812.5, "extras": extras}))
    assert isinstance(found, viewers.Start)
    assert (found.remaining_ms, found.length_hint_ms, found.first_cell, found.holders, found.top_rung) == (
        812.5,
        8000.0,
        4,
        3,
        2,
    )
    assert (found.viewer, found.again, found.plays_at) == (0xB4D65521, True, 0xC41F7A)
    assert found.description == f"{TAG}\r\nm=audio 1 RTP/AVP 0\r\n"


@pytest.mark.parametrize(
    "line",
    [
        b"\n",
        b"\xff\xfe\n",
        b"[]\n",
        b"null\n",
        b'{"verb":"START"}\n',
        b'{"verb":"START","tag":7,"opts":{}}\n',
        b'{"verb":"START","tag":"","opts":{}}\n',
        b'{"verb":"START","tag":"zz1f03aa5c7e2d41","opts":{}}\n',
        b'{"verb":"NONSENSE","tag":"9b1f03aa5c7e2d41"}\n',
        b'{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":[]}\n',
        b'{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"left":true}}\n',
        b'{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"left":null}}\n',
        b'{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","rc":"x"}\n',
        b'{"a":' * 3000 + b"1\n",
        b"[" * 16000 + b"\n",
        b'{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{},"x":' + b"[" * 12000 + b"\n",
    ],
)
def test_invalid_lines_raise_protocol_error(line: bytes) -> None:
    with pytest.raises(viewers.ProtocolError):
        viewers.read_line(line)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("left", "-1"),
        ("left", "1e300"),
        ("left", "NaN"),
        ("left", "Infinity"),
        ("left", "1_0"),
        ("left", ""),
        ("left", -5),
        ("hint", "soon"),
        ("hint", "-8.0"),
        ("key", ""),
        ("key", "xyz"),
        ("key", 7),
        ("class", ""),
        ("extras", ""),
        ("extras", "home:-1;copies:3;top:4"),
        ("extras", "home:1;copies:99999999999999;top:4"),
        ("extras", "home:1;copies:1"),
        ("extras", "home:1;copies:1;top:1;viewer:zz"),
        ("extras", "home:1;copies:1;top:1;at:nowhere"),
    ],
)
def test_the_field_out_of_range_is_named(field: str, value: Any) -> None:
    found = viewers.read_line(start_line(TAG, opts={field: value}))
    assert isinstance(found, viewers.InvalidSetup) and found.tag == TAG
    assert field in found.field_name or found.field_name == "server name"


def test_of_a_repeated_key_the_last_value_counts() -> None:
    line = b'{"verb":"START","verb":"ECHO","tag":"0000000000000000","tag":"%s","opts":{}}\n' % TAG.encode()
    assert viewers.read_line(line) == viewers.Echo(TAG)


def test_a_failed_ping_is_distinguished_from_an_answered_one() -> None:
    [passed, failed, other] = rtsp.MessageReader().feed(
        rtsp_answer(200, TAG, cseq=3) + rtsp_answer(503, TAG, cseq=3) + rtsp_answer(503, TAG)
    )
    assert [rtsp.is_failed_ping(m) for m in (passed, failed, other)] == [False, True, False]


def test_a_set_up_without_time_or_description_is_invalid() -> None:
    message = json.loads(start_line(TAG))
    del message["opts"]["left"]
    assert isinstance(viewers.read_line(json.dumps(message).encode()), viewers.InvalidSetup)
    message = json.loads(start_line(TAG))
    del message["blob"]
    assert isinstance(viewers.read_line(json.dumps(message).encode()), viewers.InvalidSetup)


def test_a_line_is_bounded_with_and_without_a_line_feed() -> None:
    for data in (
        b"x" * viewers.MAX_LINE_BYTES,
        b"x" * viewers.MAX_LINE_BYTES + b"\n",
        b"\n" + b"y" * 20000 + b"\n",
    ):
        with pytest.raises(viewers.ProtocolError):
            viewers.LineReader().feed(data)
    reader = viewers.LineReader()
    for _ in range(15):
        reader.feed(b"x" * 1024)
    with pytest.raises(viewers.ProtocolError):
        reader.feed(b"x" * 1024)


@given(st.binary(max_size=400))
def test_random_bytes_from_viewers_raise_protocol_error_and_nothing_else(data: bytes) -> None:
    for line in (data, b'{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{' + data + b"}}"):
        with contextlib.suppress(viewers.ProtocolError):
            viewers.read_line(line)


def test_messages_to_viewers_have_the_form_of_the_protocol() -> None:
    assert json.loads(viewers.started(TAG, "a\r\n")) == {
        "verb": "STARTED",
        "tag": TAG,
        "opts": {},
        "blob": "a\r\n",
    }
    refused = json.loads(viewers.finish(TAG, 34, 500.0))
    assert refused == {"verb": "FINISH", "tag": TAG, "opts": {"wait": "500"}, "rc": 34}
    assert json.loads(viewers.echoed(TAG, True))["rc"] == 1


# ---- Coordinator ------------------------------------------------------------------------------------------
def test_frames_at_every_split() -> None:
    data = frame(2, 1, record(7, "10.0.0.1:5060") + record(8, "10.0.0.2:5060", 1, 3, 1700)) + frame(2, 0)
    whole = discovery_watch.FrameReader(2, 2, 4).feed(data)
    list_update = whole[0].update
    assert (
        list_update is not None
        and list_update.full
        and [box.info.node for box in list_update.servers] == [7, 8]
    )
    assert list_update.servers[1].info == fl.NodeInfo(8, 0, 0, 3, fl.Status.DRAINING, 1.0, 1700.0)
    assert (list_update.servers[1].address.host, list_update.servers[1].address.port) == ("10.0.0.2", 5060)
    assert whole[1] == discovery_watch.Frame(2, None)
    for cut in range(1, len(data)):
        reader = discovery_watch.FrameReader(2, 2, 4)
        assert reader.feed(data[:cut]) + reader.feed(data[cut:]) == whole


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x08" + b"x" * 8,
        frame(2, 3),
        frame(2, 2, b"x" * 26),
        frame(2, 2, record(7, "10.0.0.1:5060", state=3)),
        frame(2, 2, record(7, "10.0.0.1:5060", cell=4)),
        frame(2, 2, record(7, "10.0.0.1:0")),
    ],
)
def test_invalid_frames_raise_protocol_error(data: bytes) -> None:
    with pytest.raises(discovery_watch.ProtocolError):
        discovery_watch.FrameReader(2, 2, 4).feed(data)


@given(st.binary(max_size=200))
def test_random_bytes_from_the_coordinator_raise_protocol_error_and_nothing_else(data: bytes) -> None:
    with contextlib.suppress(discovery_watch.ProtocolError):
        discovery_watch.FrameReader(2, 2, 4).feed(data)


# ---- Configuration ----------------------------------------------------------------------------------------
def test_a_configuration_is_read() -> None:
    found = read(config([member(7, "10.0.0.1:5060", cell=2)]))
    assert found.module.ladder_kb == (200.0, 500.0, 1100.0, 2500.0)
    assert [klass.repeat for klass in found.module.classes] == [fl.Repeat.ONCE, fl.Repeat.FREE]
    assert found.module.may_cancel and found.module.come_back and not found.module.may_probe
    assert found.class_names == {"paid": 0, "free": 1} and found.tenant_names == {"acme": 0}
    assert found.known[0].full and found.known[0].servers[0].info.cell == 2
    assert (found.known_number, found.sockets, found.columns) == (1, 256, frozenset({"x0"}))


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (lambda c: c.pop("listen"), "listen"),
        (lambda c: c.update(listen="nowhere"), "listen"),
        (lambda c: c.update(coordinator="127.0.0.1:99999"), "coordinator"),
        (lambda c: c.update(seed="xyz"), "seed"),
        (lambda c: c["limits"].update(sockets=8), "limits.sockets"),
        (lambda c: c.update(listen="somewhere:5060"), "listen"),
        (lambda c: c["settings"].update(categories=[]), "categories"),
        (lambda c: c["settings"].update(ordinal=2), "settings.ordinal"),
        (lambda c: c["settings"]["family_info"].update(ladder_kb=[]), "family_info.ladder_kb"),
        (lambda c: c["settings"]["family_info"].update(ladder_kb=[1, 1, 2, 3]), "family_info.ladder_kb"),
        (lambda c: c["settings"]["family_info"].update(ladder_worth=[1.0]), "family_info.ladder_worth"),
        (lambda c: c["settings"]["family_info"].update(top_by_class=[3, 9]), "family_info.top_by_class"),
        (lambda c: c["settings"]["family_info"].update(cells=0), "family_info.cells"),
        (lambda c: c["settings"]["family_info"].update(kind_slots=[]), "family_info.kind_slots"),
        (lambda c: c["settings"]["family_info"].update(kind_slots=[5, 0]), "family_info.kind_slots"),
        (lambda c: c["settings"]["family_info"].update(class_scale=[1.0, -1.0]), "family_info.class_scale"),
        (lambda c: c["settings"]["invariants"].update(cold_from=0), "invariants.cold_from"),
        (lambda c: c["limits"].update(sockets="many"), "limits.sockets"),
        (lambda c: c["settings"]["categories"][1].pop("idempotency"), "categories.1.idempotency"),
        (lambda c: c["settings"]["family_info"].pop("ladder_kb"), "family_info.ladder_kb"),
        (lambda c: c["settings"]["family_info"].update(cells="x"), "family_info.cells"),
        (
            lambda c: c["known"]["updates"][0]["endpoints"]["members"][0].update(phase="odd"),
            "known.updates.0.endpoints.members.0.phase",
        ),
        (
            lambda c: c["known"]["updates"][0]["endpoints"]["members"][0].update(id="7"),
            "known.updates.0.endpoints.members.0.id",
        ),
        (
            lambda c: c["known"]["updates"][0]["endpoints"]["members"][0].update(cell=9),
            "known.updates.0.endpoints.members.0.cell",
        ),
    ],
)
def test_an_error_in_the_configuration_names_its_field(change: Any, named: str) -> None:
    raw = json.loads(config([member(7, "10.0.0.1:5060")]))
    change(raw)
    with pytest.raises(ConfigError, match=named.replace(".", r"\.")):
        read(json.dumps(raw).encode())


@pytest.mark.parametrize("data", [b"", b"{", b"[1]", b"\xff", b"[" * 5000])
def test_a_configuration_that_is_not_json_is_rejected(data: bytes) -> None:
    with pytest.raises(ConfigError):
        read(data)


def test_nested_settings_have_the_paths_of_the_wire() -> None:
    from foxlift.wiresettings import Params

    params = Params.nested(settings())
    assert params.values["categories.count"] == "2" and params.values["categories.1.name"] == "free"
    assert params.values["family_info.ladder_kb"] == "200.0,500.0,1100.0,2500.0"
    assert params.flag("limits.may_cancel") and params.items("zones") == ["east", "west"]
