"""One attempt at one upstream over HTTP."""

from enum import Enum
from typing import NamedTuple

import aiohttp

from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.requests import GatewayRequest
from poplarlug.types import Address, Seconds

CONNECT_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_SECONDS = 60.0
MAX_CONNECTIONS = 10_000


class AttemptStatus(Enum):
    """
    How an attempt ended.

    ``NOT_SENT`` says that no byte of the request left for the upstream;
    ``BROKEN`` that it did, and no whole answer came back.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


class AttemptOutcome(NamedTuple):
    status: AttemptStatus
    message: str = ""


class UpstreamClient:
    """Send requests to upstreams and pass their answers on as they come."""

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=IDLE_TIMEOUT_SECONDS,
        )
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        self._session = aiohttp.ClientSession(
            timeout=timeout, connector=connector, auto_decompress=False
        )

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def attempt(
        self,
        *,
        request: GatewayRequest,
        address: Address,
        sink: AnswerSink,
        timeout_seconds: Seconds | None = None,
    ) -> AttemptOutcome:
        """Run ``request`` at ``address`` and pass the answer to ``sink``."""
        assert self._session is not None
        headers = {"Content-Type": request.content_type, "X-Request-Id": request.id}
        if request.key:
            headers["Idempotency-Key"] = request.key
        try:
            async with self._session.request(
                request.method,
                f"http://{address}{request.path}",
                data=request.body,
                headers=headers,
                allow_redirects=False,
            ) as response:
                await sink.start(self._head(response))
                async for chunk in response.content.iter_any():
                    await sink.write(chunk)
        except aiohttp.ClientConnectorError as error:
            return AttemptOutcome(AttemptStatus.NOT_SENT, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return AttemptOutcome(AttemptStatus.BROKEN, repr(error))
        return AttemptOutcome(AttemptStatus.DONE)

    def _head(self, response: aiohttp.ClientResponse) -> AnswerHead:
        return AnswerHead(
            status=response.status,
            content_type=response.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            content_length=response.content_length,
            served_by=response.headers.get("X-Served-By", ""),
            zone=self._zone,
        )
