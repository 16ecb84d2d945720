"""The wire codec on the examples of the wire page, and on bad input."""

import io
import subprocess
import sys

import pytest

from foxlift import wire, wirehost
from foxlift.wiresettings import SettingsError

HEAD = "00000000206ec040 "
ASK = (
    "0300 3c000000 0300 c4913a5d6dc90400 00 00000000 640ad2557c3bf091 107cf3d901648e2b 0000000000006e40 "
    "0000000000002840 00000000 00004040 00000040 01"
)
NODE = int.from_bytes(bytes.fromhex("0a124a07"), "big") << 16 | 5003
SESSION = 0x4C96D5D3A91C4


def batch(records: str, count: int) -> tuple[float, list[wire.Record]]:
    return wire.decode_batch(bytes.fromhex(HEAD + count.to_bytes(4, "little").hex() + records))


def test_empty_batch_and_reply() -> None:
    assert batch("", 0) == (8412.25, [])
    assert wire.encode_reply([]) == bytes.fromhex("04000000 00000000")


def test_batch_for_two_directors() -> None:
    wake = "0700 0a000000 0300 4d00000000000000"
    gone = "0600 0a000000 0500 192b6f0ef39e0900"
    clock, records = batch(ASK + wake + gone, 3)
    name, ask = records[0]
    assert clock == 8412.25 and name == "ASK"
    assert ask["handle"] == SESSION and ask["ttl_ms"] == 240.0 and ask["weight_hint_ms"] == 12.0
    assert (ask["start_cell"], ask["holders"], ask["best_rung"], ask["opts"]) == (0.0, 3.0, 2.0, 1)
    assert ask["partition_key"] == 0x91F03B7C55D20A64 and ask["show"] == 0x2B8E6401D9F37C10
    assert records[1] == ("WAKE", {"i": 3, "tag": 77})
    assert records[2] == ("WITHDRAWN", {"i": 5, "handle": 0x99EF30E6F2B19})


def test_reply_of_three_actions() -> None:
    frame = wire.encode_reply(
        [
            ("ASSIGN", {"i": 3, "handle": SESSION, "node": NODE, "within_ms": 80.0}),
            ("NOTIFY_ME", {"i": 3, "delay_ms": 500.0, "tag": 77}),
            ("EMIT", {"i": 5, "note_text": "two servers known"}),
        ]
    )
    assert frame == bytes.fromhex(
        "55000000 03000000 4100 18000000 0300 c4913a5d6dc90400 0a124a07 8b13 0000000000005440"
        "4500 12000000 0300 0000000000407f40 4d00000000000000"
        "4900 15000000 0500 1100 74776f2073657276657273206b6e6f776e"
    )
    assert [name for name, _ in wire.decode_reply(frame)] == ["ASSIGN", "NOTIFY_ME", "EMIT"]


def test_node_list_and_its_announcement() -> None:
    _, records = batch(
        "0d00 3a000000 00000000 02000000 0a124a07 8b13 0000 0000 0000 01 0000803f 0000000000000000"
        "0a9011f2 b413 0100 0000 0000 01 0000c03f 0000000000d4b740"
        "0200 0f000000 0300 04 2900000000000000 00000000",
        2,
    )
    first, second = records[0][1]["entries"]
    assert first["node"] == NODE and first["status"] == 1 and first["heft"] == 1.0
    assert second["rack_zone"] == 1 and second["heft"] == 1.5 and second["born_ms"] == 6100.0
    assert records[1] == ("ENDPOINTS", {"i": 3, "kind": 4, "seq_no": 41, "buffer": 0})


def test_started_note_outcome_examples() -> None:
    _, records = batch("0c00 17000000 0300 c4913a5d6dc90400 01 0a124a07 8b13 0000 0000003f", 1)
    assert records[0][1] == {"i": 3, "handle": SESSION, "what": 1, "node": NODE, "copy": 0, "amount": 0.5}
    _, records = batch(
        "0500 22000000 0300 c4913a5d6dc90400 0000 0000000000803240 0a124a07 8b13 01 0000 01 cdcccc3e", 1
    )
    name, reply = records[0]
    assert name == "REPLY" and reply["result"] == 0 and reply["elapsed_ms"] == 18.5 and reply["no_more"] == 1
    assert reply["health_info"] == pytest.approx((0.4,))


def test_encoded_actions_match_the_wire_page() -> None:
    rate = wire.encode_reply([("RATE", {"i": 3, "handle": SESSION, "tier_no": 2})])
    assert rate[8:] == bytes.fromhex("4d00 0b000000 0300 c4913a5d6dc90400 02")
    post = wire.encode_reply([("POST", {"i": 3, "dst": 0xFFFFFFFF, "blob": b"hi 7"})])
    assert post[8:] == bytes.fromhex("4800 0c000000 0300 ffffffff 0400 68692037")


@pytest.mark.parametrize(
    ("body", "message"),
    [
        ("00", "batch head truncated: got 1 of 12 bytes"),
        (HEAD + "01000000", "record head truncated: got 0 of 6 bytes"),
        (HEAD + "01000000 6300 00000000", "unknown record code 99"),
        (HEAD + "01000000 0700 0a000000 0300", "runs past the end"),
        (HEAD + "01000000 0700 02000000 0300", "bytes of fields"),
        (
            HEAD + "01000000 0500 22000000 0300 c4913a5d6dc90400 0000 0000000000803240 0a124a07 8b13 01 0000"
            "02 cdcccc3e",
            "in its last field",
        ),
        (HEAD + "00000000 00", "left over"),
        (HEAD + "01000000 0700 0a000000 0300 4d00000000000000", "WAKE for unknown director 3"),
        (HEAD + "01000000 0100 0e000000 0300 0000000000000000 00000000", "ordinal|categories|ladder_kb"),
    ],
)
def test_bad_input_raises_one_line_that_names_the_fault(body: str, message: str) -> None:
    data = bytes.fromhex(body)
    with pytest.raises((wire.WireError, wirehost.HostError, SettingsError), match=message):
        wirehost.serve(io.BytesIO(len(data).to_bytes(4, "little") + data), io.BytesIO())


def test_the_host_process_exits_with_one_line_on_bad_input() -> None:
    for data, code in ((b"", 0), (b"\x0c\x00\x00\x00abc", 2)):
        run = subprocess.run(
            [sys.executable, "-m", "foxlift.wirehost"], input=data, capture_output=True, check=False
        )
        assert run.returncode == code and run.stdout == b""
        assert len(run.stderr.splitlines()) == (1 if code else 0)
        assert b"Traceback" not in run.stderr
