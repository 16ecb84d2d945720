"""State of one title while a player plays it."""

from __future__ import annotations

from dataclasses import dataclass, field

from foxlift.standins.mpd import Mpd
from foxlift.standins.player_connection import PlayerConnection


@dataclass
class Playback:
    """State while a title plays: position, buffer, rendition and connections. Times are loop seconds."""

    manifest: Mpd
    updated_at: float  # when `seen`, `position` and the buffer were last brought up to date
    position: float = 0.0  # in the title, s
    end: float = 0.0  # of what is buffered, s of the title
    seen: float = 0.0  # s watched
    playing: bool = False
    name: str = ""  # of the video rendition
    kbps: float = 0.0  # of that rendition
    throughput: float = 1e9  # kbit/s, smoothed
    base: int = 0  # index of the BaseURL in use
    retries: int = 0
    wait_s: float = 0.5
    reloaded_at: float = 0.0  # when the manifest was last loaded
    connections: dict[tuple[str, int, int], PlayerConnection] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.reloaded_at = self.updated_at

    @property
    def buffer(self) -> float:
        """Seconds that are buffered."""
        return max(self.end - self.position, 0.0)

    def seek(self, to_s: float) -> None:
        """Drop the buffer. Play continues once the segment at this position is here."""
        self.position = self.end = to_s
        self.playing = False

    def connection(self, host: str, port: int, track: int) -> PlayerConnection:
        """The connection to this server for one track: video 0, audio 1."""
        return self.connections.setdefault((host, port, track), PlayerConnection(host, port))

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections.values():
            connection.close()
        self.connections.clear()
