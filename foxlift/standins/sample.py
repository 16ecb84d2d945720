"""A small sample title, made with PyAV when it is wanted: four renditions of a moving picture, and sound.

Written by the DASH muxer as CMAF segments with one manifest beside them. Needs the extra `media`.
"""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction
from pathlib import Path

import av
import numpy as np

FPS = 24
SOUND_HZ = 48_000
SOUND_KBPS = 64
MANIFEST = "manifest.mpd"


@dataclass(frozen=True)
class Picture:
    """One rendition."""

    width: int
    height: int
    kbps: int


PICTURES = (Picture(256, 144, 150), Picture(320, 180, 300), Picture(480, 270, 600), Picture(640, 360, 1200))


def make_sample(folder: Path, seconds: int = 60, segment_s: int = 2) -> Path:
    """Write the title into a folder; gives back its manifest. The same bytes of pictures every time.

    Raises av.FFmpegError where the library cannot encode, and OSError.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / MANIFEST
    options = {
        "seg_duration": str(segment_s),
        "use_template": "1",
        "use_timeline": "0",
        "adaptation_sets": "id=0,streams=v id=1,streams=a",
        "init_seg_name": "init-$RepresentationID$.m4s",
        "media_seg_name": "chunk-$RepresentationID$-$Number%05d$.m4s",
    }
    with av.open(str(path), "w", format="dash", options=options) as out:
        streams = []
        for picture in PICTURES:
            stream = out.add_stream(
                "libx264",
                rate=FPS,
                options={
                    "preset": "ultrafast",
                    "threads": "1",
                    "x264-params": f"keyint={FPS * segment_s}:min-keyint={FPS * segment_s}:scenecut=0"
                    f":bitrate={picture.kbps}:vbv-maxrate={picture.kbps}:vbv-bufsize={picture.kbps}",
                },
            )
            stream.width, stream.height, stream.pix_fmt = picture.width, picture.height, "yuv420p"
            stream.bit_rate = picture.kbps * 1000
            streams.append((stream, picture))
        sound = out.add_stream("aac", rate=SOUND_HZ, layout="mono")
        sound.bit_rate = SOUND_KBPS * 1000
        samples = 0
        for k in range(seconds * FPS):
            for stream, picture in streams:
                frame = av.VideoFrame.from_ndarray(_picture(picture, k), format="rgb24")
                frame.pts, frame.time_base = k, Fraction(1, FPS)
                out.mux(stream.encode(frame))
            while samples < (k + 1) * SOUND_HZ // FPS:
                out.mux(sound.encode(_sound(samples)))
                samples += 1024
        for stream, _ in streams:
            out.mux(stream.encode())
        out.mux(sound.encode())
    # the muxer claims that switching needs no initialization, though each size has one of its own
    path.write_text(path.read_text().replace(' bitstreamSwitching="true"', ""))
    return path


def _picture(picture: Picture, number: int) -> np.ndarray:
    """A gradient that moves, with a bar that crosses it once in ten seconds, and noise worth its rate."""
    x = np.arange(picture.width, dtype=np.uint16)[None, :]
    y = np.arange(picture.height, dtype=np.uint16)[:, None]
    found = np.empty((picture.height, picture.width, 3), np.uint8)
    found[:, :, 0] = (x + 3 * number) & 0xFF
    found[:, :, 1] = (y * 2 + number) & 0xFF
    found[:, :, 2] = (x + y) & 0xFF
    bar = number * picture.width // (10 * FPS) % picture.width
    found[:, bar : bar + 8, :] = 255
    noise = np.random.default_rng(number).integers(0, 48, (picture.height // 2, picture.width), np.uint8)
    found[: picture.height // 2, :, 1] ^= noise
    return found


def _sound(first: int) -> av.AudioFrame:
    """A low tone."""
    wave = np.sin(2 * np.pi * 220 * np.arange(first, first + 1024) / SOUND_HZ) * 0.1
    frame = av.AudioFrame.from_ndarray(wave.astype(np.float32)[None, :], format="fltp", layout="mono")
    frame.sample_rate, frame.pts, frame.time_base = SOUND_HZ, first, Fraction(1, SOUND_HZ)
    return frame
