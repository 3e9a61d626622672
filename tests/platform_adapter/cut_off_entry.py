"""
An entry that can be cut off, as a process of a test.

While the file that ``CUT_VARIABLE`` names holds ``control``, messages between this entry
and control replicas are lost; while it holds ``entries``, so are requests that it
forwards to other entries.
"""

import asyncio
import os
from pathlib import Path
from typing import Any

import aiohttp
from returns.result import Failure, Result

from poplarlug.entry import seeded
from poplarlug.platform.entry import main
from poplarlug.relay.client import RelayClient, SendError, SendErrorKind
from poplarlug.soak.deployment import FORWARDS_PORT
from poplarlug.transport import TransportError, TransportErrorKind
from poplarlug.transport.zeromq import ZmqTransport

CUT_VARIABLE = "POPLARLUG_TEST_CUT"


def _is_cut_off_from(what: str) -> bool:
    file = Path(os.environ[CUT_VARIABLE])
    return file.exists() and file.read_text() == what


class CutOffTransport(ZmqTransport):
    """Loses requests and replies during a cut."""

    async def request(self, **arguments: Any) -> Result[Any, TransportError]:
        started = asyncio.get_running_loop().time()
        timeout_seconds = arguments["timeout_seconds"]
        if not _is_cut_off_from("control"):
            reply = await super().request(**arguments)
            if not _is_cut_off_from("control"):
                return reply
        elapsed = asyncio.get_running_loop().time() - started
        await asyncio.sleep(max(0.0, timeout_seconds - elapsed))
        return Failure(TransportError(TransportErrorKind.TIMEOUT, "cut off"))


class CutOffClient(RelayClient):
    """Reaches no other entry during a cut."""

    async def send(self, **arguments: Any) -> Result[aiohttp.ClientResponse, SendError]:
        is_forward = arguments["target"].endswith(f":{FORWARDS_PORT}")
        if is_forward and _is_cut_off_from("entries"):
            return Failure(SendError(SendErrorKind.NOT_SENT, "cut off"))
        return await super().send(**arguments)


if __name__ == "__main__":
    seeded.ZmqTransport = CutOffTransport  # type: ignore[misc]
    seeded.RelayClient = CutOffClient  # type: ignore[misc]
    main()
