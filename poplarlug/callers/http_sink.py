"""Passes an answer on to the caller's HTTP connection."""

import asyncio

from aiohttp import web

from poplarlug.serving.answers import AnswerHead, AnswerSink

WRITE_TIMEOUT_SECONDS = 30.0


class HttpSink(AnswerSink):
    """Write an answer to the caller that asked for it."""

    def __init__(self, *, request: web.Request, request_id: str) -> None:
        super().__init__()
        self._request = request
        self._request_id = request_id
        self.response: web.StreamResponse | None = None

    async def start(self, head: AnswerHead) -> None:
        headers = {
            "Content-Type": head.content_type,
            "X-Request-Id": self._request_id,
            "X-Served-Zone": head.zone,
        }
        if head.served_by:
            headers["X-Served-By"] = head.served_by
        response = web.StreamResponse(status=head.status, headers=headers)
        if head.content_length is not None:
            response.content_length = head.content_length
        self.response = response
        self.started = True
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        assert self.response is not None
        async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
            await self.response.write(data)

    async def finish(self) -> None:
        assert self.response is not None
        await self.response.write_eof()
