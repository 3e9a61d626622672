"""HTTP endpoint for callers and other entries; requests are served by their routes."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from prometheus_client import Counter, Histogram
from returns.result import Failure, Result, Success

from poplarlug.callers.bodies import lacks_length
from poplarlug.callers.client_memory import ClientHolding
from poplarlug.callers.connections import ConnectionGuard
from poplarlug.callers.http_sink import HttpSink
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.pauses import PauseWatch
from poplarlug.errors import (
    GatewayError,
    bad_request,
    leaving,
    not_run,
    outcome_unknown,
    overloaded,
    to_body,
    truncated_answer,
)
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.events import LAST_EVENT_HEADER
from poplarlug.relay.gateway import RelayGateway
from poplarlug.relay.header_names import HeaderNames
from poplarlug.relay.hop_headers import (
    ORIGIN,
    PATIENCE,
    REFUSED,
    SOFTWARE_VERSION,
    TABLE_VERSION,
    TRIED,
    encode_refusal,
    end_to_end,
    tried_headers,
)
from poplarlug.relay.limiter import MAX_LOGGED_CHARACTERS
from poplarlug.relay.placement import FORWARD_SECONDS
from poplarlug.relay.planned_stop import LEAVING_RETRY_SECONDS, PlannedStop
from poplarlug.relay.requests import Prompt, PromptPart, RelayRequest
from poplarlug.relay.trace import RelayTrace
from poplarlug.routes import Route, RouteIndex
from poplarlug.routes.index import draw_service
from poplarlug.serving.answers import CallerLostError
from poplarlug.teams import AUTHORIZATION, KeyFreshness, Team
from poplarlug.teams.freshness import MAX_LOGGED_SECONDS, STALE_RETRY_SECONDS
from poplarlug.types import Seconds

MAX_REQUEST_ID_CHARACTERS = 128
MAX_ROUTED_PARTS = 64
"""Maximum number of a prompt's parts that routing considers; for each, all upstreams are
compared."""

MAX_TOKENS = 10_000_000
STARTUP_WAIT_SECONDS = 1.5
"""How long after its start an entry holds requests until its first routes arrive. After
a power loss control VMs may be back some 0.5 s later and elect a leader within 0.8 s."""

NOT_READY_RETRY_SECONDS = 1.0
"""Retry time at an entry without routes; the control group elects a leader within this
time after the loss of all its replicas."""

BODY_RETRY_SECONDS = 0.5
"""Retry time while there is no memory for a body; most requests end within that time."""

KEY_VIEW_SECONDS = 3.0
"""While no control replica has answered or confirmed its reading for this long, a key
that is unknown here may have been added; its caller is told to come back rather than
that it is wrong."""

_ANSWERS = Counter(
    "poplarlug_relay_answers_total",
    "Answers to callers by kind of route and status class.",
    ["kind", "status"],
    registry=REGISTRY,
)
_UNIDENTIFIED = Counter(
    "poplarlug_teams_refusals_total",
    "Requests refused because of their key, by reason.",
    ["reason"],
    registry=REGISTRY,
)
_SECONDS = Histogram(
    "poplarlug_relay_seconds",
    "From a whole request to the end of its answer.",
    ["kind"],
    buckets=(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0),
    registry=REGISTRY,
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_log = ComponentLogger(prefix="relay")


class RelayEndpoint:
    """
    Parse requests, find their routes and pass them to the gateway.

    Parameters
    ----------
    pauses : PauseWatch
        Holds requests while the view of the deployment may date from before a pause of
        this process.
    header_names : HeaderNames
        Names of the headers of callers and upstreams.
    stop : PlannedStop
        Tells whether this entry stops and which requests it still accepts.
    guard : ConnectionGuard
        Enforces the limits of the connections on which requests arrive.
    freshness : KeyFreshness, optional
        Tells whether callers' keys may be taken now; without it, they always may.
    """

    def __init__(
        self,
        *,
        gateway: RelayGateway,
        deployment: Deployment,
        pauses: PauseWatch,
        header_names: HeaderNames,
        stop: PlannedStop,
        guard: ConnectionGuard,
        rng: Random,
        clock: Callable[[], Seconds],
        freshness: KeyFreshness | None = None,
    ) -> None:
        self._freshness = freshness or KeyFreshness(bound_seconds=None, uptime=clock)
        self._gateway = gateway
        self._deployment = deployment
        self._pauses = pauses
        self._header_names = header_names
        self._stop = stop
        self._guard = guard
        self._rng = rng
        self._clock = clock
        self._started = clock()
        self.in_progress: Latest[int] = Latest(initial=0)

    def build(self) -> web.Application:
        """Return the application for callers."""
        return self._build(self._serve_caller, self._guard)

    def build_for_entries(
        self, guard: ConnectionGuard | None = None
    ) -> web.Application:
        """
        Return the application for requests forwarded by other entries.

        Parameters
        ----------
        guard : ConnectionGuard, optional
            Enforces the limits of their connections, if these aren't the callers'.
        """
        app = self._build(self._serve_entry, guard or self._guard)
        app.on_response_prepare.append(self._name_request)
        return app

    def _build(self, handler: Handler, guard: ConnectionGuard) -> web.Application:
        app = web.Application(middlewares=[guard.middleware])
        app.router.add_route("*", "/{path:.*}", handler)
        return app

    async def _name_request(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Echo the request id to the entry that forwarded the request."""
        name = self._header_names.request_id
        if name in request.headers:
            response.headers.setdefault(name, request.headers[name])

    async def _serve_caller(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, hops=0)

    async def _serve_entry(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, hops=1)

    async def _serve(self, request: web.Request, hops: int) -> web.StreamResponse:
        started = self._clock()
        request_id = request.headers.get(self._header_names.request_id, "")
        trace = RelayTrace(request_id=request_id, started=started)
        self.in_progress.set(self.in_progress.value + 1)
        status = 0
        kind = ""
        response: web.StreamResponse
        try:
            parsed: Result[RelayRequest, GatewayError]
            parsed = Failure(leaving(LEAVING_RETRY_SECONDS))
            async with self._stop.scope():
                parsed = await self._parse(request, request_id, hops, trace)
            if isinstance(parsed, Failure):
                response = self._refuse(request, parsed.failure(), hops, trace)
            else:
                kind = parsed.unwrap().route.kind
                response = await self._run(request, parsed.unwrap(), trace)
            status = response.status
            return response
        except asyncio.CancelledError:
            trace.note(error="stopped" if self._stop.has_drained else "caller_left")
            raise
        finally:
            self.in_progress.set(self.in_progress.value - 1)
            seconds = self._clock() - started
            _ANSWERS.labels(kind, f"{status // 100}xx").inc()
            _SECONDS.labels(kind).observe(seconds)
            _log.info(
                "request ended",
                request_id=request_id,
                hops=hops,
                status=status,
                seconds=round(seconds, 4),
                **trace.fields,
                steps=trace.steps,
            )

    async def _run(
        self, request: web.Request, relayed: RelayRequest, trace: RelayTrace
    ) -> web.StreamResponse:
        sink = HttpSink(
            request=request,
            request_id=relayed.id,
            should_close=lambda: self._stop.is_stopping,
            on_slow=self._guard.holding(request).note_slow_answer,
        )
        try:
            failed = await self._gateway.serve(
                relayed,
                sink,
                trace,
                on_left=partial(self._guard.hold_until_done, request),
            )
        except CallerLostError as error:
            failed = truncated_answer(str(error))
        except Exception as error:
            # The caller must be told that it may have run, or its stream broken off.
            _log.error("failed to serve", request_id=relayed.id, exc_info=error)
            failed = outcome_unknown(f"this entry failed: {error!r}")
        if failed is None:
            await sink.finish()
            seconds = self._clock() - relayed.arrived
            self._stop.note_duration(relayed.route.name, seconds)
            assert sink.response is not None
            return sink.response
        if sink.response is not None:
            trace.note(error=failed.type, reason=failed.message)
            sink.break_off()
            return sink.response
        # A booking may go on in the background, and must not answer once more.
        sink.give_up()
        return self._refuse(request, failed, relayed.hops, trace)

    async def _parse(
        self,
        request: web.Request,
        request_id: str,
        hops: int,
        trace: RelayTrace,
    ) -> Result[RelayRequest, GatewayError]:
        if not self._stop.accepts_requests:
            return Failure(leaving(LEAVING_RETRY_SECONDS))
        received_at = self._clock()
        await self._pauses.wait_for_fresh_view()
        routes = self._deployment.routes
        if routes is None or (not hops and self._lacks_proof(routes)):
            await self._wait_for_routes(hops)
            routes = self._deployment.routes
        waited = self._clock() - received_at
        if routes is None:
            message = "no routes are known yet"
            return Failure(not_run(message, NOT_READY_RETRY_SECONDS))
        found = self._find_route(request, routes, hops, trace)
        if isinstance(found, Failure):
            return found
        route = found.unwrap()
        if not 0 < len(request_id) <= MAX_REQUEST_ID_CHARACTERS:
            message = f"{self._header_names.request_id} must have 1 to 128 characters"
            return Failure(bad_request(message))
        identified = self._identify(request, routes, route, hops, trace)
        if isinstance(identified, Failure):
            return identified
        team = identified.unwrap()
        if team is not None:
            trace.note(team=team.name)
        body = await self._read_body(request, routes, self._guard.holding(request))
        if isinstance(body, Failure):
            return body
        now = self._clock()
        wait = _parse_milliseconds(request.headers.get(self._header_names.deadline, ""))
        left = min(route.timeout_seconds, math.inf if wait is None else wait)
        resumed_id = request.headers.get(self._header_names.resumes, "")
        service = draw_service(route, self._rng)
        trace.note(service=service, left_ms=round(left * 1000))
        last_event = request.headers.get(LAST_EVENT_HEADER)
        if last_event is not None:
            trace.note(
                last_event=last_event[:MAX_LOGGED_CHARACTERS],
                resumes=resumed_id[:MAX_LOGGED_CHARACTERS],
            )
        answer_by = math.inf
        patience = (
            _parse_milliseconds(request.headers.get(PATIENCE, "")) if hops else None
        )
        if patience is not None:
            answer_by = received_at + patience - FORWARD_SECONDS
        consumed = {self._header_names.deadline.lower(), *self._header_names.reserved}
        if routes.teams is not None:
            consumed |= {AUTHORIZATION.lower(), self._header_names.team.lower()}
        return Success(
            RelayRequest(
                id=request_id,
                route=route,
                service=service,
                method=request.method,
                path=request.raw_path,
                headers=end_to_end(request.headers, consumed),
                body=body.unwrap(),
                arrived=now - waited,
                deadline=now - waited + left,
                prompt=self._prompt(request) if route.prompts else Prompt(),
                hops=hops,
                origin=request.headers.get(ORIGIN, "") if hops else "",
                answer_by=answer_by,
                resumes=resumed_id,
                version=request.headers.get(SOFTWARE_VERSION) if hops else None,
                tried=frozenset(request.headers.getall(TRIED, ()) if hops else ()),
                team=team,
                authorization=""
                if team is None
                else request.headers.get(AUTHORIZATION, ""),
                stated_tokens=0 if team is None else self._stated_tokens(request),
            )
        )

    def _lacks_proof(self, routes: RouteIndex) -> bool:
        return routes.teams is not None and self._freshness.lacks_proof

    async def _wait_for_routes(self, hops: int) -> None:
        """Wait for the first routes, and the first proof, for a time after the start."""
        left = self._started + STARTUP_WAIT_SECONDS - self._clock()
        if left <= 0:
            return
        try:
            async with asyncio.timeout(left):
                await self._deployment.changed.wait_for(
                    lambda _: self._deployment.routes is not None
                )
                routes = self._deployment.routes
                if not hops and routes is not None and self._lacks_proof(routes):
                    await self._freshness.wait_for_proof()
        except TimeoutError:
            _log.debug("no routes, or no proof, arrived within the startup wait")

    def _find_route(
        self, request: web.Request, routes: RouteIndex, hops: int, trace: RelayTrace
    ) -> Result[Route, GatewayError]:
        path = request.raw_path.partition("?")[0]
        host = request.headers.get("Host", "")
        route = routes.find(host, path)
        trace.note(
            route=None if route is None else route.name,
            table=routes.version,
            view_age_ms=round(min(1e6, self._deployment.age_seconds * 1000)),
        )
        if hops:
            theirs = request.headers.get(TABLE_VERSION, "")
            if theirs.isdecimal() and int(theirs) > routes.version:
                message = f"this entry has table {routes.version}, not yet {theirs}"
                return Failure(not_run(message, NOT_READY_RETRY_SECONDS))
        if route is None:
            return Failure(GatewayError(404, "no_route", f"no route has {host}{path}"))
        if hops and not route.allows(self._deployment.own_region):
            message = "the route's requests may not come to this region"
            return Failure(GatewayError(503, "region_not_allowed", message, False, 0.5))
        return Success(route)

    def _identify(
        self,
        request: web.Request,
        routes: RouteIndex,
        route: Route,
        hops: int,
        trace: RelayTrace,
    ) -> Result[Team | None, GatewayError]:
        """Return the team of a request, ``None`` if there are no teams or no key."""
        if routes.teams is None:
            return Success(None)
        authorizations = request.headers.getall(AUTHORIZATION, ())
        # The entry that took a forwarded request from its caller had the proof.
        needs_proof = not hops and (authorizations or not route.is_open)
        age = min(self._freshness.age_seconds, MAX_LOGGED_SECONDS)
        trace.note(proof_age_ms=round(age * 1000))
        if needs_proof and not self._freshness.allows_keys():
            _UNIDENTIFIED.labels("stale proof").inc()
            message = "this entry may not know of keys that were taken away"
            return Failure(not_run(message, STALE_RETRY_SECONDS))
        identified = routes.teams.identify(
            authorizations,
            scheme=self._header_names.key_scheme,
            is_open=route.is_open,
        )
        if isinstance(identified, Failure):
            if self._may_lack_keys(hops):
                _UNIDENTIFIED.labels("unknown key, may be new").inc()
                message = "the key is unknown here, and may have been added since"
                return Failure(not_run(message, NOT_READY_RETRY_SECONDS))
            _UNIDENTIFIED.labels("unknown key").inc()
            return identified
        team = identified.unwrap()
        is_elsewhere = team is not None and not team.allows(self._deployment.own_region)
        if hops and is_elsewhere:
            message = "the team's requests may not come to this region"
            return Failure(GatewayError(503, "region_not_allowed", message, False, 0.5))
        return Success(team)

    def _may_lack_keys(self, hops: int) -> bool:
        """Return whether keys may have been added that this entry doesn't know."""
        if self._deployment.age_seconds > KEY_VIEW_SECONDS:
            return True
        return not hops and self._freshness.is_older_than(KEY_VIEW_SECONDS)

    async def _read_body(
        self, request: web.Request, routes: RouteIndex, held: ClientHolding
    ) -> Result[bytes, GatewayError]:
        if not self._guard.memory.has_room_for_answers:
            message = "answers that callers read slowly take all the memory"
            return Failure(overloaded(message, BODY_RETRY_SECONDS))
        memory_bytes = self._guard.memory.total_bytes
        max_bytes = min(routes.table.limits.max_body_bytes, memory_bytes)
        message = f"the body is longer than {max_bytes} bytes"
        too_large = Failure(GatewayError(413, "body_too_large", message))
        if lacks_length(request):
            return Failure(bad_request("the body needs a Content-Length"))
        if (request.content_length or 0) > max_bytes:
            return too_large
        parts = []
        count = 0
        # Reserved as a whole, so that no part of a body that must be refused is read.
        head = held.count
        has_room = held.grow_to(head + (request.content_length or 0))
        try:
            while has_room and (part := await request.content.readany()):
                parts.append(part)
                count += len(part)
                if count > max_bytes:
                    return too_large
                has_room = held.grow_to(head + count)
        except (aiohttp.ClientError, web.RequestPayloadError, OSError) as error:
            return Failure(bad_request(f"the body broke off: {error!r}"))
        if not has_room:
            message = "the bodies of other requests take all the memory for them"
            return Failure(overloaded(message, BODY_RETRY_SECONDS))
        return Success(b"".join(parts))

    def _stated_tokens(self, request: web.Request) -> int:
        counts = request.headers.get(self._header_names.token_counts, "").split(",")
        return sum(_parse_count(count) for count in counts[:2])

    def _prompt(self, request: web.Request) -> Prompt:
        headers = request.headers
        counts = headers.get(self._header_names.token_counts, "").split(",")
        tokens = _parse_count(counts[0])
        max_tokens = _parse_count(counts[1]) if len(counts) > 1 else 0
        parts = []
        listed = headers.get(self._header_names.prompt_parts, "")
        for part in listed.split(","):
            part_id, _, count = part.strip().partition(":")
            if part_id:
                parts.append(PromptPart(part_id, _parse_count(count)))
        tokens = tokens or sum(part.tokens for part in parts)
        model = headers.get(self._header_names.model, "")
        expected_tokens = _parse_count(headers.get(self._header_names.length_hint, ""))
        routed, further = parts[:MAX_ROUTED_PARTS], parts[MAX_ROUTED_PARTS:]
        return Prompt(
            model, tokens, max_tokens, tuple(routed), expected_tokens, tuple(further)
        )

    def _refuse(
        self, request: web.Request, error: GatewayError, hops: int, trace: RelayTrace
    ) -> web.Response:
        trace.note(error=error.type, reason=error.message, ran=error.ran)
        headers = [("Content-Type", "application/json")]
        if error.retry_after_seconds is not None:
            headers.append(("Retry-After", f"{error.retry_after_seconds:.2f}"))
            trace.note(retry_after=round(error.retry_after_seconds, 2))
        if hops:
            headers.append((REFUSED, encode_refusal(error)))
            headers.extend(tried_headers(error.tried))
        response = web.Response(
            status=error.status, body=to_body(error), headers=CIMultiDict(headers)
        )
        if self._stop.is_stopping:
            response.force_close()
        return response


def _parse_milliseconds(text: str) -> Seconds | None:
    """Convert a header from milliseconds to seconds; ``None`` if it is no valid number."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value / 1000 if math.isfinite(value) and value >= 0 else None


def _parse_count(text: str) -> int:
    text = text.strip()
    if not text.isdecimal() or len(text) > 9:
        return 0
    return min(MAX_TOKENS, int(text))
