"""Start and stop of daemons."""

import asyncio
import os
import signal

from rowanrail.kernel.errors import RowanrailError


async def wait_for_stop_signal() -> None:
    """Wait for the first SIGTERM or SIGINT; both request a graceful shutdown."""
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
