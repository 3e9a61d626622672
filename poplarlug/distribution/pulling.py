"""Transfers missing configuration changes as a stream of bounded chunks."""

from collections.abc import AsyncIterator

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.catalog import Catalog, Update
from poplarlug.distribution.messages import PULL_TOPIC, PullRequest
from poplarlug.transport import Transport
from poplarlug.types import ConfigVersion, Seconds, VmName

CHUNK_BYTES = 64 * 1024
MAX_UPDATE_BYTES = 128 * 1024 * 1024
CHUNK_TIMEOUT_SECONDS = 2.0


def serve_pulls(transport: Transport, catalog: Catalog) -> None:
    """Answer pull requests from ``catalog``."""

    async def serve(sender: VmName, request: PullRequest) -> AsyncIterator[bytes]:
        if catalog.version <= request.version:
            return
        data = msgspec.msgpack.encode(catalog.update_after(request.version))
        for start in range(0, len(data), CHUNK_BYTES):
            yield data[start : start + CHUNK_BYTES]

    transport.serve_stream(PULL_TOPIC, PullRequest, serve)


async def pull_update(
    *,
    transport: Transport,
    peer: VmName,
    version: ConfigVersion,
    timeout_seconds: Seconds = CHUNK_TIMEOUT_SECONDS,
) -> Result[Update | None, str]:
    """
    Return the changes that ``peer`` holds after ``version``, or ``None`` without any.

    Parameters
    ----------
    timeout_seconds : float
        Maximum wait for each chunk, in seconds.
    """
    opened = transport.open_stream(
        peer=peer, topic=PULL_TOPIC, message=PullRequest(version)
    )
    if isinstance(opened, Failure):
        return Failure(opened.failure().message)
    stream = opened.unwrap()
    data = bytearray()
    try:
        while True:
            chunk = await stream.next_chunk(timeout_seconds=timeout_seconds)
            if isinstance(chunk, Failure):
                return Failure(chunk.failure().message)
            part = chunk.unwrap()
            if part is None:
                return _decode(data)
            data += part
            if len(data) > MAX_UPDATE_BYTES:
                return Failure(f"got more than {MAX_UPDATE_BYTES} bytes from {peer}")
    finally:
        stream.cancel()


def _decode(data: bytearray) -> Result[Update | None, str]:
    if not data:
        return Success(None)
    try:
        return Success(msgspec.msgpack.decode(data, type=Update))
    except ValueError as error:
        return Failure(f"not an update: {error}")
