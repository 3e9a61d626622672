"""A fake model engine that serves HTTP."""

import hashlib
import os
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

from poplarlug.fakes.emulator import (
    EngineEmulator,
    EngineJob,
    EngineProfile,
    EngineStream,
)
from poplarlug.fakes.ledger import RequestLedger
from poplarlug.fakes.orders import OrderExecutor
from poplarlug.routing.prefix_hashes import shape_of_body

CRASH_MARKER = "crash-the-engine"
DEFAULT_MAX_TOKENS = 16
MAX_NAME_CHARACTERS = 200
UNLIMITED_BATCH = EngineProfile().batch_limit


class EngineOptions(NamedTuple):
    """
    Options of a fake engine.

    Parameters
    ----------
    profile : EngineProfile
        Size and speed of the emulated engine.
    ledger_file : str
        File to which each received request appends a line; empty for no ledger.
    checks_fencing, order_ledger
        See :class:`~poplarlug.fakes.orders.OrderExecutor`.
    """

    upstream_id: str
    models: tuple[str, ...]
    profile: EngineProfile = EngineProfile()
    seed: int = 0
    ledger_file: str = ""
    checks_fencing: bool = True
    order_ledger: Path | None = None


class FakeEngine:
    """
    Answer chat completions with tokens that depend only on the prompt.

    The first token is the prompt's digest, so that a caller can tell its own
    answer from another's. ``resume_from`` in a body skips that many tokens.
    """

    def __init__(self, *, options: EngineOptions) -> None:
        self._options = options
        self._emulator = EngineEmulator(
            profile=options.profile, rng=Random(options.seed), models=options.models
        )
        self._ledger = RequestLedger(path=options.ledger_file)
        self.running = 0
        self.served = 0
        self.orders = OrderExecutor(
            models=options.models,
            checks_fencing=options.checks_fencing,
            ledger=options.order_ledger,
        )

    def application(self) -> web.Application:
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self.serve_chat)
        app.router.add_post("/v1/completions", self.serve_chat)
        app.router.add_get("/health", self.serve_health)
        self.orders.add_routes(app)
        return app

    def describe(self) -> dict[str, Any]:
        return {
            "id": self._options.upstream_id,
            "kind": "engine",
            "models": list(self.orders.models),
            **self._load(),
        }

    async def serve_health(self, request: web.Request) -> web.Response:
        return web.json_response({"running": self.running, "served": self.served})

    async def serve_chat(self, request: web.Request) -> web.StreamResponse:
        data = await request.read()
        body = msgspec.json.decode(data)
        request_id = request.headers.get("X-Request-Id", "")
        self._ledger.write(request_id, _prompt_name(body))
        if CRASH_MARKER.encode() in data:
            os._exit(70)
        self.running += 1
        self.served += 1
        try:
            sequence = self._emulator.submit(_parse_job(request, data, body))
            try:
                if body.get("stream"):
                    return await self._stream(request, body, sequence)
                await sequence.finished()
                completion = self._completion(body, list(tokens_of(body)))
                return web.json_response(
                    {**completion, "priority": sequence.job.priority}
                )
            finally:
                sequence.cancel()
        finally:
            self.running -= 1

    def _load(self) -> dict[str, Any]:
        profile = self._options.profile
        load = self._emulator.reported_load()
        report: dict[str, Any] = {
            "running": load.running,
            "queued": load.queued,
            "token_seconds": profile.token_seconds,
        }
        if profile.batch_limit < UNLIMITED_BATCH:
            report["capacity"] = profile.batch_limit
        if profile.prefill_tokens_per_second < float("inf"):
            report["prefill_tokens_per_second"] = profile.prefill_tokens_per_second
        events = self._emulator.publish_cache_events()
        if events is not None:
            report["cache_sequence"] = events.sequence
            report["cache_stored"] = list(events.stored)
            report["cache_removed"] = list(events.removed)
        return report

    def _completion(self, body: dict[str, Any], tokens: list[str]) -> dict[str, Any]:
        message = {"role": "assistant", "content": " ".join(tokens)}
        return {
            "id": "chatcmpl-0",
            "object": "chat.completion",
            "model": body.get("model"),
            "served_by": self._options.upstream_id,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        }

    async def _stream(
        self, request: web.Request, body: dict[str, Any], sequence: EngineStream
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Served-By": self._options.upstream_id,
                "X-Resumed-From": str(sequence.job.resume_from),
            }
        )
        await response.prepare(request)
        tokens = list(tokens_of(body))
        sent = sequence.job.resume_from
        while sent < len(tokens):
            ready = await sequence.next_tokens(sent)
            if sequence.cancelled:
                _abort(request)
                return response
            for token in tokens[sent:ready]:
                delta = {"index": 0, "delta": {"content": f"{token} "}}
                event = {"object": "chat.completion.chunk", "choices": [delta]}
                await response.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
            sent = max(sent, ready)
        await response.write(b"data: [DONE]\n\n")
        return response


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _parse_job(request: web.Request, data: bytes, body: dict[str, Any]) -> EngineJob:
    shape = shape_of_body(data)
    max_tokens = max(1, int(body.get("max_tokens", DEFAULT_MAX_TOKENS)))
    return EngineJob(
        prompt_tokens=shape.tokens,
        max_tokens=max_tokens,
        prefix_hashes=shape.prefix_hashes,
        priority=int(request.headers.get("X-Priority", 1)),
        resume_from=min(int(body.get("resume_from", 0)), max_tokens),
    )


def _prompt_name(body: dict[str, Any]) -> str:
    messages = body.get("messages") or [{"content": body.get("prompt")}]
    return str(messages[-1].get("content"))[:MAX_NAME_CHARACTERS]


def tokens_of(body: dict[str, Any]) -> Iterator[str]:
    """Yield the answer tokens for ``body``, which are the same each time."""
    prompt = msgspec.json.encode(body.get("messages", body.get("prompt")))
    digest = hashlib.sha256(prompt).hexdigest()[:16]
    yield digest
    for index in range(1, int(body.get("max_tokens", DEFAULT_MAX_TOKENS))):
        yield f"{digest[:4]}-{index}"
