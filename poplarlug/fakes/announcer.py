"""How a stand-in upstream announces itself to the entries of its zone."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp

from poplarlug.logs import PartLog

RENEW_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 2.0

_log = PartLog(prefix="announcer")


class Announcer:
    """
    Announce an upstream at one entry of its zone and renew its lease.

    Parameters
    ----------
    entries : sequence of str
        HTTP addresses of the zone's entries; the first that answers is used.
    describe : callable
        Returns the announcement's body with the present load.
    """

    def __init__(
        self, *, entries: Sequence[str], describe: Callable[[], dict[str, Any]]
    ) -> None:
        self._entries = list(entries)
        self._describe = describe
        self._sequence = 0
        self.state = "serving"

    async def run(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self.announce(session)
                await asyncio.sleep(RENEW_SECONDS)

    async def leave(self) -> None:
        """Announce once that this upstream takes no new work."""
        self.state = "leaving"
        async with aiohttp.ClientSession() as session:
            await self.announce(session)

    async def announce(self, session: aiohttp.ClientSession) -> bool:
        """Send the announcement to the first entry that takes it."""
        self._sequence += 1
        body = {**self._describe(), "state": self.state, "sequence": self._sequence}
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_SECONDS)
        for address in list(self._entries):
            url = f"http://{address}/v1/upstreams"
            try:
                async with session.post(url, json=body, timeout=timeout) as response:
                    if response.status == 200:
                        return True
                    _log.warning("refused", entry=address, status=response.status)
            except (aiohttp.ClientError, TimeoutError) as error:
                _log.warning("entry not reached", entry=address, error=repr(error))
            self._entries.append(self._entries.pop(0))
        return False
