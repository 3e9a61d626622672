"""The HTTP application of an entry."""

import asyncio
import re
import uuid
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
from aiohttp import web
from returns.result import Failure, Result, Success

from poplarlug.callers.announcements import AnnouncementHandler
from poplarlug.callers.authentication import Authenticator
from poplarlug.callers.bodies import lacks_length
from poplarlug.callers.connections import ConnectionGuard
from poplarlug.callers.directory import Directory
from poplarlug.callers.http_sink import HttpSink
from poplarlug.callers.observation import RequestObserver
from poplarlug.callers.parsing import (
    HttpRequest,
    is_first_send,
    parse_completion,
    parse_service_call,
)
from poplarlug.callers.responses import error_response
from poplarlug.catalog import Account, Catalog
from poplarlug.errors import (
    GatewayError,
    bad_request,
    claims_unreachable,
    not_run,
    outcome_unknown,
    truncated_answer,
)
from poplarlug.logs import ComponentLogger
from poplarlug.membership.sharing import Membership
from poplarlug.serving.answers import CallerLostError
from poplarlug.serving.gateway import Gateway
from poplarlug.serving.requests import GatewayRequest
from poplarlug.serving.trace import RequestTrace

SERVICE_PREFIX = "/svc/"
MAX_REQUEST_ID_LENGTH = 128

_REQUEST_ID_PATTERN = re.compile(rf"[A-Za-z0-9._:-]{{1,{MAX_REQUEST_ID_LENGTH}}}")

_log = ComponentLogger(prefix="callers")

ParseRequest = Callable[[HttpRequest, Account], Result[GatewayRequest, GatewayError]]


class CallerApplication:
    """
    Handlers for HTTP requests of callers and upstreams.

    Parameters
    ----------
    accepts : callable
        Returns whether new requests are accepted: configuration is loaded, the
        membership tables are trusted and no stop has begun.
    guard : ConnectionGuard
        Tracks the connections and enforces their limits.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        authenticator: Authenticator,
        membership: Membership,
        gateway: Gateway,
        directory: Directory,
        announcements: AnnouncementHandler,
        guard: ConnectionGuard,
        accepts: Callable[[], bool],
        observer: RequestObserver,
    ) -> None:
        self._catalog = catalog
        self._authenticator = authenticator
        self._membership = membership
        self._gateway = gateway
        self._directory = directory
        self._announcements = announcements
        self._guard = guard
        self._accepts = accepts
        self._observer = observer

    def build(self) -> web.Application:
        app = web.Application(
            client_max_size=self._guard.limits.max_body_bytes,
            middlewares=[self._guard.middleware, _format_http_errors],
        )
        app.router.add_post("/v1/chat/completions", self.serve_completion)
        app.router.add_post("/v1/completions", self.serve_completion)
        app.router.add_get("/v1/models", self.serve_models)
        app.router.add_get("/v1/directory", self._directory.serve)
        app.router.add_post("/v1/upstreams", self._announcements.serve)
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
        authenticated = self._authenticator.authenticate(request.headers)
        if isinstance(authenticated, Failure):
            return error_response(authenticated.failure(), "")
        models = [
            {"id": name, "object": "model"} for name in authenticated.unwrap().models
        ]
        return web.json_response({"object": "list", "data": models})

    async def _serve(
        self, request: web.Request, path: str, parse: ParseRequest
    ) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "") or uuid.uuid4().hex
        if not _REQUEST_ID_PATTERN.fullmatch(request_id):
            return error_response(_bad_request_id(), "")
        with self._observer.observe(request_id) as trace:
            return await self._answer(request, path, parse, trace)

    async def _answer(
        self, request: web.Request, path: str, parse: ParseRequest, trace: RequestTrace
    ) -> web.StreamResponse:
        request_id = trace.request_id
        if not self._accepts():
            return error_response(_not_accepting(request.headers), request_id)
        authenticated = self._authenticator.authenticate(request.headers)
        if isinstance(authenticated, Failure):
            return error_response(authenticated.failure(), request_id)
        trace.account = authenticated.unwrap().name
        read = await self._read_body(request)
        if isinstance(read, Failure):
            return error_response(read.failure(), request_id)
        if not self._accepts():
            # A stop may have begun while the body was read.
            return error_response(_not_accepting(request.headers), request_id)
        body = read.unwrap()
        http = HttpRequest(request_id, request.method, path, request.headers, body)
        parsed = parse(http, authenticated.unwrap())
        if isinstance(parsed, Failure):
            return error_response(parsed.failure(), request_id)
        trace.request = parsed.unwrap()
        sink = HttpSink(request=request, request_id=request_id, trace=trace)
        try:
            failed = await self._gateway.serve(parsed.unwrap(), sink)
        except CallerLostError as error:
            trace.abandoned = True
            failed = truncated_answer(str(error))
        except Exception as error:
            # The caller must be told that it may have run, or its stream broken off.
            _log.error("failed to serve", request_id=request_id, exc_info=error)
            failed = outcome_unknown(f"this entry failed: {error!r}")
        if failed is None and sink.started:
            await sink.finish()
            assert sink.response is not None
            return sink.response
        if failed is None:
            failed = GatewayError(502, "empty_answer", "the upstream gave no answer")
        trace.abandoned = trace.abandoned or sink.closed
        if sink.response is not None:
            trace.error = failed
            sink.break_off()
            return sink.response
        return error_response(failed, request_id)

    async def _read_body(self, request: web.Request) -> Result[bytes, GatewayError]:
        limits = self._guard.limits
        if lacks_length(request):
            return Failure(bad_request("The body needs a Content-Length."))
        try:
            async with asyncio.timeout(limits.body_seconds):
                return Success(await request.read())
        except TimeoutError:
            message = f"The body took longer than {limits.body_seconds} s."
            return Failure(GatewayError(408, "slow_body", message))
        except web.HTTPRequestEntityTooLarge:
            message = f"The body is longer than {limits.max_body_bytes} bytes."
            return Failure(GatewayError(413, "body_too_large", message))
        except (aiohttp.ClientError, web.RequestPayloadError, OSError) as error:
            return Failure(bad_request(f"The body broke off: {error!r}."))


@web.middleware
async def _format_http_errors(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Return errors raised by aiohttp itself in the gateway's JSON format."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status < 400:
            raise
        kind = (error.reason or "error").lower().replace(" ", "_")
        message = f"{request.method} {request.path}: {error.reason}."
        return error_response(GatewayError(error.status, kind, message), "")


def _bad_request_id() -> GatewayError:
    return bad_request(
        f"X-Request-Id must be 1 to {MAX_REQUEST_ID_LENGTH} letters, digits or '._:-'."
    )


def _not_accepting(headers: Mapping[str, str]) -> GatewayError:
    message = "This entry takes no requests now; ask another."
    if not headers.get("Idempotency-Key"):
        return not_run(message, 1.0)
    return claims_unreachable(message, 1.0, first_send=is_first_send(headers))
