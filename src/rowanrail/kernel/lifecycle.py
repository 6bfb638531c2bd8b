"""Start and stop of daemons.

For each program. Owns nothing; relies on the event loop for signals.
"""

import asyncio
import os
import signal

from rowanrail.kernel.errors import RowanrailError


async def wait_for_stop_signal() -> None:
    """Return at the first SIGTERM or SIGINT; both mean a planned stop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def listen_error(address: str, error: OSError) -> RowanrailError:
    """Return the error for an address that can't be listened on."""
    reason = os.strerror(error.errno).lower() if error.errno else str(error)
    return RowanrailError(
        f"{reason}; stop what uses the address, or choose another one",
        step="listen",
        peer=address,
    )
