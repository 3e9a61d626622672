"""Announcements of a fake upstream to the entries of its zone."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp

from poplarlug.logs import ComponentLogger

RENEWAL_INTERVAL_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 2.0
DEFAULT_LEAVE_WAIT_SECONDS = 5.0
MAX_LEAVE_ATTEMPTS = 5
LEAVE_RETRY_SECONDS = 0.3

_log = ComponentLogger(prefix="announcer")


class Announcer:
    """
    Announce an upstream at one entry of its zone and renew its lease.

    Parameters
    ----------
    entries : sequence of str
        HTTP addresses of the zone's entries; the first that answers is used.
    describe : callable
        Returns the announcement's body with the current load.
    incarnation : int
        Number of this run, larger than those of earlier runs.
    """

    def __init__(
        self,
        *,
        entries: Sequence[str],
        describe: Callable[[], dict[str, Any]],
        incarnation: int = 0,
    ) -> None:
        self._incarnation = incarnation
        self._entries = list(entries)
        self._describe = describe
        self._sequence = 0
        self.state = "serving"

    async def run(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self.announce(session)
                await asyncio.sleep(RENEWAL_INTERVAL_SECONDS)

    async def leave(self) -> float:
        """
        Announce that this upstream accepts no new requests.

        Returns
        -------
        float
            Seconds for which it should keep serving, since an entry that was
            not reached may still send requests.
        """
        self.state = "leaving"
        async with aiohttp.ClientSession() as session:
            for _ in range(MAX_LEAVE_ATTEMPTS):
                answer = await self.announce(session)
                if answer is not None:
                    return float(answer.get("wait_seconds", DEFAULT_LEAVE_WAIT_SECONDS))
                await asyncio.sleep(LEAVE_RETRY_SECONDS)
        return DEFAULT_LEAVE_WAIT_SECONDS

    async def announce(self, session: aiohttp.ClientSession) -> dict[str, Any] | None:
        """Send the announcement to the first entry that accepts it."""
        self._sequence += 1
        body = {
            **self._describe(),
            "state": self.state,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
        }
        for address in list(self._entries):
            answer = await self._send(session, address, body)
            if answer is not None:
                return answer
            self._entries.append(self._entries.pop(0))
        return None

    async def _send(
        self, session: aiohttp.ClientSession, address: str, body: dict[str, Any]
    ) -> dict[str, Any] | None:
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_SECONDS)
        url = f"http://{address}/v1/upstreams"
        try:
            async with session.post(url, json=body, timeout=timeout) as response:
                if response.status == 200:
                    answer: dict[str, Any] = await response.json()
                    return answer
                _log.warning("refused", entry=address, status=response.status)
        except (aiohttp.ClientError, TimeoutError) as error:
            _log.warning("entry not reached", entry=address, error=repr(error))
        return None
