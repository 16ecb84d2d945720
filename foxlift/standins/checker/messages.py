"""HTTP/1.1 as it was captured: messages of a direction, and each request with its answer."""

from __future__ import annotations

from dataclasses import dataclass

from foxlift.standins.checker.capture import Connection, Stream

HEAD_END = b"\r\n\r\n"
# What stands for the first line of a message whose head was cut off: no method or status can be read of it.
CUT_REQUEST_LINE = "? ? ?"
CUT_STATUS_LINE = "? 0 ?"


@dataclass
class Message:
    """A request or an answer. `whole`: all of it was seen."""

    first: float
    last: float
    line: str
    headers: dict[str, str]
    body: bytes
    whole: bool
    span: tuple[int, int] = (0, 0)  # where it stands in its stream


@dataclass
class Exchange:
    """A request and its answer, if one was seen."""

    connection: Connection
    asked: Message
    answer: Message | None

    @property
    def method(self) -> str:
        """Method of the request."""
        return self.asked.line.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of the request: its path and query."""
        return self.asked.line.split(" ")[1]

    @property
    def path_parts(self) -> list[str]:
        """The target between its slashes; the first part is empty."""
        return self.target.split("/")

    @property
    def status(self) -> int:
        """Status of the answer; 0 where none was seen."""
        return int(self.answer.line.split(" ")[1]) if self.answer is not None else 0

    @property
    def whole_answer(self) -> Message | None:
        """The answer, if all of it was seen."""
        return self.answer if self.answer is not None and self.answer.whole else None

    @property
    def ended(self) -> float | None:
        """When the asking side had its answer or the connection was over."""
        answer = self.whole_answer
        return answer.last if answer is not None else self.connection.shut


@dataclass(frozen=True)
class StrayAnswer:
    """An answer to no request."""

    connection: Connection
    answer: Message


def read_exchanges(connection: Connection) -> tuple[list[Exchange], StrayAnswer | None]:
    """The whole requests of a connection with their answers, and the first answer beyond them."""
    requests = read_messages(connection.up, answers=False)
    answers = read_messages(connection.down, answers=True)
    exchanges = [
        Exchange(connection, request, answers[index] if index < len(answers) else None)
        for index, request in enumerate(requests)
        if request.whole
    ]
    stray = StrayAnswer(connection, answers[len(requests)]) if len(answers) > len(requests) else None
    return exchanges, stray


def read_messages(stream: Stream, answers: bool) -> list[Message]:
    """Split a direction into messages; interim answers (1xx) are passed over."""
    found: list[Message] = []
    data, at = bytes(stream.data), 0
    while at < len(data):
        head_end = data.find(HEAD_END, at)
        if head_end < 0:
            cut_line = CUT_STATUS_LINE if answers else CUT_REQUEST_LINE
            found.append(Message(stream.when(at), stream.times[-1], cut_line, {}, b"", False))
            break
        line, headers = _read_head(data[at:head_end])
        body_at = head_end + len(HEAD_END)
        if answers and line.startswith("HTTP/1.1 1"):
            at = body_at
            continue
        body, after, whole = _read_body(data, body_at, headers)
        end = min(after, len(data))
        found.append(Message(stream.when(at), stream.when(end - 1), line, headers, body, whole, (at, end)))
        at = after
        if not whole:
            break
    return found


def _read_head(head: bytes) -> tuple[str, dict[str, str]]:
    """First line and headers."""
    lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:])
    return lines[0], {name.lower(): value.strip() for name, _, value in fields}


def _read_body(data: bytes, at: int, headers: dict[str, str]) -> tuple[bytes, int, bool]:
    """Body, the offset behind it, and whether all of it was seen."""
    if headers.get("transfer-encoding") == "chunked":
        return _read_chunks(data, at)
    after = at + int(headers.get("content-length", "0"))
    return data[at:after], after, after <= len(data)


def _read_chunks(data: bytes, at: int) -> tuple[bytes, int, bool]:
    parts: list[bytes] = []
    while True:
        end = data.find(b"\r\n", at)
        if end < 0:
            return b"".join(parts), len(data), False
        size = int(data[at:end] or b"0", 16)
        after = end + 2 + size + 2
        if after > len(data):
            parts.append(data[end + 2 :])
            return b"".join(parts), len(data), False
        parts.append(data[end + 2 : end + 2 + size])
        at = after
        if size == 0:
            return b"".join(parts), at, True
