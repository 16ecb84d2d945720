"""Runs one director as the platform starts it: `python -m foxlift.platform`."""

from __future__ import annotations

import signal

# SIGHUP may arrive as soon as the process exists; until the handler is set, it must not end the process
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import dataclasses  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import resource  # noqa: E402
import sys  # noqa: E402

import uvloop  # noqa: E402

from foxlift.platform.settings import ConfigError, read  # noqa: E402
from foxlift.platform.transport import PlatformDirector  # noqa: E402


async def serve(path: str) -> int:
    """Serve until SIGTERM, then exit with 0. Return the exit code if it cannot serve."""
    try:
        with open(path, "rb") as file:
            config = read(file.read())
    except (OSError, ConfigError) as error:
        print(f"foxlift: configuration: {error}", file=sys.stderr)
        return 2
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)  # the smaller of the two limits applies
    config = dataclasses.replace(config, sockets=min(config.sockets, allowed))
    loop = asyncio.get_running_loop()
    director = PlatformDirector(config, path, loop)
    loop.set_exception_handler(lambda _, context: director.handle_exception(context))
    loop.add_signal_handler(signal.SIGHUP, director.reload)
    loop.add_signal_handler(signal.SIGTERM, director.stop)
    try:
        await director.start()
    except OSError as error:
        print(f"foxlift: listen: {error}", file=sys.stderr)
        return 2
    # objects created so far stay: exclude them from further collections
    gc.collect()
    gc.freeze()
    director.log.write("serving", config.name)
    await director.ended
    director.log.write("ended", director.summary_line())
    director.log.write("believed at the end", director.servers_line())
    # exit without closing the loop: that would restore the default signal handlers, and a SIGHUP would then
    # kill the process. Everything pending is written, and the kernel closes the sockets.
    sys.stderr.flush()
    os._exit(0)


def main() -> int:
    """Read BALANCER_CONFIG and serve."""
    path = os.environ.get("BALANCER_CONFIG")
    if not path:
        print("foxlift: BALANCER_CONFIG is not set", file=sys.stderr)
        return 2
    return uvloop.run(serve(path))


if __name__ == "__main__":
    sys.exit(main())
