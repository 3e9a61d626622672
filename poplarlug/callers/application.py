"""The HTTP application of an entry."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from aiohttp import web
from returns.result import Failure, Result

from poplarlug.callers.authentication import authenticate
from poplarlug.callers.http_sink import HttpSink
from poplarlug.callers.parsing import (
    HttpRequest,
    parse_completion,
    parse_service_call,
    request_id_of,
)
from poplarlug.catalog import Account, Catalog
from poplarlug.errors import GatewayError, bad_request, not_run, to_body
from poplarlug.membership.sharing import Membership
from poplarlug.membership.upstreams import Announcement
from poplarlug.serving.gateway import Gateway
from poplarlug.serving.requests import GatewayRequest

MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_TIMEOUT_SECONDS = 10.0
DIRECTORY_LIFE_SECONDS = 5
SERVICE_PREFIX = "/svc/"

Parse = Callable[[HttpRequest, Account], Result[GatewayRequest, GatewayError]]


class CallerApplication:
    """
    Handlers of the callers' and upstreams' HTTP requests.

    Parameters
    ----------
    accepts : callable
        Returns whether new requests are taken in: configuration is in force
        and no stop has begun.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        membership: Membership,
        gateway: Gateway,
        accepts: Callable[[], bool],
    ) -> None:
        self._catalog = catalog
        self._membership = membership
        self._gateway = gateway
        self._accepts = accepts

    def build(self) -> web.Application:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/chat/completions", self.serve_completion)
        app.router.add_post("/v1/completions", self.serve_completion)
        app.router.add_get("/v1/models", self.serve_models)
        app.router.add_get("/v1/directory", self.serve_directory)
        app.router.add_post("/v1/upstreams", self.serve_announcement)
        app.router.add_route("*", "/svc/{service}/{path:.*}", self.serve_service)
        return app

    async def serve_completion(self, request: web.Request) -> web.StreamResponse:
        def parse(
            http: HttpRequest, account: Account
        ) -> Result[GatewayRequest, GatewayError]:
            return parse_completion(
                http, account, self._catalog, self._membership.own.name
            )

        return await self._serve(request, request.path, parse)

    async def serve_service(self, request: web.Request) -> web.StreamResponse:
        service = request.match_info["service"]
        path = request.path_qs.removeprefix(f"{SERVICE_PREFIX}{service}")

        def parse(
            http: HttpRequest, account: Account
        ) -> Result[GatewayRequest, GatewayError]:
            return parse_service_call(
                http, service, account, self._catalog, self._membership.own.name
            )

        return await self._serve(request, path, parse)

    async def serve_models(self, request: web.Request) -> web.Response:
        found = authenticate(request.headers, self._catalog)
        if isinstance(found, Failure):
            return _error_response(found.failure(), "")
        models = [{"id": name, "object": "model"} for name in found.unwrap().models]
        return web.json_response({"object": "list", "data": models})

    async def serve_directory(self, request: web.Request) -> web.Response:
        own = self._membership.own
        ranked = sorted(
            self._membership.topology.entries,
            key=lambda vm: (vm.zone != own.zone, vm.region != own.region),
        )
        entries = [
            {"name": vm.name, "region": vm.region, "zone": vm.zone, "address": vm.http}
            for vm in ranked
        ]
        return web.json_response(
            {"entries": entries, "ttl_seconds": DIRECTORY_LIFE_SECONDS}
        )

    async def serve_announcement(self, request: web.Request) -> web.Response:
        try:
            body = msgspec.json.decode(await request.read(), type=dict[str, Any])
            announcement = msgspec.convert(_ordered(body), Announcement)
        except (msgspec.DecodeError, msgspec.ValidationError, KeyError) as error:
            return _error_response(
                bad_request(f"The body is no announcement: {error}."), ""
            )
        self._membership.announce(announcement)
        return web.json_response({"taken": True})

    async def _serve(
        self, request: web.Request, path: str, parse: Parse
    ) -> web.StreamResponse:
        request_id = request_id_of(request.headers)
        structlog.contextvars.bind_contextvars(request_id=request_id)
        if not self._accepts():
            error = not_run("This entry takes no requests now; ask another.", 1.0)
            return _error_response(error, request_id)
        found = authenticate(request.headers, self._catalog)
        if isinstance(found, Failure):
            return _error_response(found.failure(), request_id)
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                body = await request.read()
        except TimeoutError:
            error = GatewayError(408, "slow_body", "The body came too slowly.")
            return _error_response(error, request_id)
        http = HttpRequest(request_id, request.method, path, request.headers, body)
        parsed = parse(http, found.unwrap())
        if isinstance(parsed, Failure):
            return _error_response(parsed.failure(), request_id)
        sink = HttpSink(request=request, request_id=request_id)
        failed = await self._gateway.serve(parsed.unwrap(), sink)
        if failed is None and sink.response is not None:
            await sink.finish()
            return sink.response
        if failed is None:
            failed = GatewayError(502, "empty_answer", "the upstream gave no answer")
        if sink.response is not None:
            _abort(request)
            return sink.response
        return _error_response(failed, request_id)


def _ordered(body: dict[str, Any]) -> list[Any]:
    defaults = Announcement._field_defaults
    unknown = set(body) - set(Announcement._fields)
    if unknown:
        raise msgspec.ValidationError(f"unknown keys {sorted(unknown)}")
    return [
        body[name] if name in body else defaults[name] for name in Announcement._fields
    ]


def _error_response(error: GatewayError, request_id: str) -> web.Response:
    headers = {"X-Request-Id": request_id}
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after_seconds)))
    return web.Response(
        status=error.status,
        body=to_body(error),
        content_type="application/json",
        headers=headers,
    )


def _abort(request: web.Request) -> None:
    # The caller sees a broken connection, never a short answer.
    if request.transport is not None:
        request.transport.abort()
