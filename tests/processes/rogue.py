"""An entry that violates the forwarding rules towards its peers."""

import asyncio
from contextlib import suppress
from typing import Any

from examples.deployment import Deployment
from poplarlug.errors import GatewayError
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.forwarding import Forwarder
from poplarlug.serving.requests import GatewayRequest
from poplarlug.topology import KeyFiles
from poplarlug.transport import ZmqTransport

CONNECT_SECONDS = 10.0
RETRY_SECONDS = 0.1


class CollectingSink(AnswerSink):
    """Collect the whole answer."""

    def __init__(self) -> None:
        super().__init__()
        self.head: AnswerHead | None = None
        self.body = b""

    async def start(self, head: AnswerHead) -> None:
        self.started = True
        self.head = head

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        pass


def forward_as(
    deployment: Deployment, sender: str, target: str, request: GatewayRequest
) -> tuple[GatewayError | None, CollectingSink]:
    """
    Forward ``request`` to the entry ``target`` with the keys of ``sender``.

    The sender checks nothing; ``request.hops`` is incremented on the way.
    """
    return asyncio.run(_forward(deployment, sender, target, request))


async def _forward(
    deployment: Deployment, sender: str, target: str, request: GatewayRequest
) -> tuple[GatewayError | None, CollectingSink]:
    keys = deployment.folder / "keys"
    transport = ZmqTransport(
        name=sender,
        address=deployment.address(),
        addresses_by_name=deployment.topology.peer_addresses_by_name(),
        keys=KeyFiles(
            str(keys / "secret" / f"{sender}.key_secret"), str(keys / "public")
        ),
    )
    running = asyncio.ensure_future(transport.run())
    try:
        return await _forward_when_connected(transport, target, request)
    finally:
        running.cancel()
        with suppress(asyncio.CancelledError):
            await running


async def _forward_when_connected(
    transport: ZmqTransport, target: str, request: GatewayRequest
) -> tuple[GatewayError | None, CollectingSink]:
    forwarder = Forwarder(transport=transport)
    async with asyncio.timeout(CONNECT_SECONDS):
        while True:
            await asyncio.sleep(RETRY_SECONDS)
            sink = CollectingSink()
            error = await forwarder.forward(request, target, sink)
            if error is None or not _is_link_missing(error):
                return error, sink


def _is_link_missing(error: GatewayError) -> bool:
    return "no link to" in error.message


def make_forwarded_request(**fields: Any) -> GatewayRequest:
    """Return a completion request as another entry would forward it."""
    body = b'{"model": "corn-7b", "messages": [{"role": "user", "content": "%s"}]}'
    values: dict[str, Any] = {
        "id": "rogue-1",
        "account": "verde",
        "rank": "patient",
        "method": "POST",
        "path": "/v1/chat/completions",
        "body": body % fields.get("id", "rogue-1").encode(),
        "content_type": "application/json",
        "origin": "cuenca-a-1",
        "model": "corn-7b",
    }
    return GatewayRequest(**{**values, **fields})
