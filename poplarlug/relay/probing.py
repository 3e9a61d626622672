"""Checks whether an address accepts connections."""

import asyncio
from enum import Enum

from poplarlug.logs import ComponentLogger
from poplarlug.types import Address

FIRST_PROBE_SECONDS = 0.03
"""Delay of the first probe; the port of a terminated process closes a moment later."""

SECOND_PROBE_SECONDS = 0.1
"""Delay before a refused connection is tried again, to count a crash."""

PROBE_SECONDS = 0.3
"""Probe timeout; connecting within the region takes far less."""

MAX_LOOK_SECONDS = 0.5
"""Time within which a probe must be accepted. Later, as after a pause of this process,
a successor may have the address; the start of a process takes longer."""

_log = ComponentLogger(prefix="relay")


class ProbeResult(Enum):
    """Result of opening a connection to an address."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


async def probe(address: Address) -> ProbeResult:
    """Open and close a TCP connection to check whether an address accepts it."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except (OSError, TimeoutError) as error:
        _log.debug("probe got no response", address=address, error=repr(error))
        return ProbeResult.SILENT
    writer.close()
    return ProbeResult.ACCEPTED


async def is_listening(address: Address) -> bool:
    """
    Return whether something listens at an address after a connection to it has ended.

    A process that ends stops listening about when its connections end. Once it has
    refused a connection, whatever accepts the next one is its successor.
    """
    loop = asyncio.get_running_loop()
    accepts_until = loop.time() + MAX_LOOK_SECONDS
    await asyncio.sleep(FIRST_PROBE_SECONDS)
    result = await probe(address)
    return result is ProbeResult.ACCEPTED and loop.time() <= accepts_until
