"""A stand-in for a model engine behind HTTP."""

import asyncio
import hashlib
import os
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

CRASH_MARKER = "crash-the-engine"


class EngineOptions(NamedTuple):
    """
    Behaviour of a stand-in engine.

    Parameters
    ----------
    token_seconds, first_token_seconds : float
        Time to each further token and to the first one.
    """

    upstream_id: str
    models: tuple[str, ...]
    token_seconds: float = 0.0
    first_token_seconds: float = 0.0


class FakeEngine:
    """
    Answer chat completions with tokens that depend on the prompt alone.

    The first token names the prompt's digest, so that a caller can tell its own
    answer from another's. ``resume_from`` in a body skips that many tokens.
    """

    def __init__(self, *, options: EngineOptions) -> None:
        self._options = options
        self.running = 0
        self.served = 0

    def application(self) -> web.Application:
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self.serve_chat)
        app.router.add_post("/v1/completions", self.serve_chat)
        app.router.add_get("/health", self.serve_health)
        return app

    def describe(self) -> dict[str, Any]:
        return {
            "id": self._options.upstream_id,
            "kind": "engine",
            "models": list(self._options.models),
            "running": self.running,
        }

    async def serve_health(self, request: web.Request) -> web.Response:
        return web.json_response({"running": self.running, "served": self.served})

    async def serve_chat(self, request: web.Request) -> web.StreamResponse:
        data = await request.read()
        if CRASH_MARKER.encode() in data:
            os._exit(70)
        body = msgspec.json.decode(data)
        self.running += 1
        self.served += 1
        try:
            if body.get("stream"):
                return await self._stream(request, body)
            await self._wait(self._options.first_token_seconds)
            tokens = list(tokens_of(body))
            await self._wait(self._options.token_seconds * len(tokens))
            return web.json_response(self._whole(body, tokens))
        finally:
            self.running -= 1

    def _whole(self, body: dict[str, Any], tokens: list[str]) -> dict[str, Any]:
        message = {"role": "assistant", "content": " ".join(tokens)}
        return {
            "id": "chatcmpl-0",
            "object": "chat.completion",
            "model": body.get("model"),
            "served_by": self._options.upstream_id,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        }

    async def _stream(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Served-By": self._options.upstream_id,
            }
        )
        await response.prepare(request)
        await self._wait(self._options.first_token_seconds)
        skip = int(body.get("resume_from", 0))
        for index, token in enumerate(tokens_of(body)):
            if index < skip:
                continue
            await self._wait(self._options.token_seconds)
            delta = {"index": 0, "delta": {"content": f"{token} "}}
            event = {"object": "chat.completion.chunk", "choices": [delta]}
            await response.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
        await response.write(b"data: [DONE]\n\n")
        return response

    async def _wait(self, seconds: float) -> None:
        if seconds > 0:
            await asyncio.sleep(seconds)


def tokens_of(body: dict[str, Any]) -> Iterator[str]:
    """Yield the tokens that answer ``body``, the same ones each time."""
    prompt = msgspec.json.encode(body.get("messages", body.get("prompt")))
    digest = hashlib.sha256(prompt).hexdigest()[:16]
    yield digest
    for index in range(1, int(body.get("max_tokens", 16))):
        yield f"{digest[:4]}-{index}"
