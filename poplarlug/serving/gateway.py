"""Request handling of an entry: checks, routing, attempts and retries."""

from returns.result import Failure

from poplarlug.catalog import Account, Catalog, Rank
from poplarlug.errors import (
    GatewayError,
    leaving,
    not_run,
    outcome_unknown,
    stopped,
    truncated_answer,
)
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.membership.sharing import Membership, ZoneSummary
from poplarlug.relay.held_bytes import completions_budget
from poplarlug.relay.planned_stop import LEAVING_RETRY_SECONDS, PlannedStop
from poplarlug.routing import (
    Fleet,
    ForwardRoute,
    RouteRequest,
    ZoneView,
)
from poplarlug.routing.prefix_hashes import PromptShape, shape_of_body
from poplarlug.serving.answers import AnswerSink
from poplarlug.serving.at_most_once import AtMostOnce
from poplarlug.serving.attempts import AttemptStatus, UpstreamClient
from poplarlug.serving.dispatcher import (
    Dispatcher,
    DispatchParts,
    LocalPlacement,
)
from poplarlug.serving.forwarding import Forwarder
from poplarlug.serving.quarantine import Quarantine
from poplarlug.serving.requests import GatewayRequest
from poplarlug.serving.stream_progress import StreamProgress
from poplarlug.serving.trace import current_trace
from poplarlug.types import UpstreamId

MAX_ATTEMPTS = 3
MAX_HOPS = 1
RETRY_AFTER_SECONDS = 1.0
DEFAULT_RANK = Rank("patient")

_log = ComponentLogger(prefix="serving")


class Gateway:
    """
    Run requests at local upstreams or forward them to entries of other zones.

    Parameters
    ----------
    catalog : Catalog
        The current configuration.
    dispatch : DispatchParts
        Decides where and when each request runs.
    at_most_once : AtMostOnce or None
        Runs non-repeatable requests; without it they are refused.
    quarantine : Quarantine or None
        Refuses requests that crashed upstreams; without it none are refused.
    stop : PlannedStop
        Ends the requests that outlast the drain of a stopping entry.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        membership: Membership,
        dispatch: DispatchParts,
        client: UpstreamClient,
        forwarder: Forwarder,
        stop: PlannedStop,
        at_most_once: AtMostOnce | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self._stop = stop
        self._quarantine = quarantine
        self._held_bytes = completions_budget("events")
        self._at_most_once = at_most_once
        self._catalog = catalog
        self._membership = membership
        self._loads = dispatch.loads
        self._dispatcher = Dispatcher(parts=dispatch, fleet=self._fleet)
        self._client = client
        self._forwarder = forwarder
        self.in_progress: Latest[int] = Latest(initial=0)
        forwarder.set_handler(self.serve)

    async def serve(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> GatewayError | None:
        """
        Run ``request`` and write its answer to ``sink``.

        Returns
        -------
        GatewayError or None
            ``None`` once the whole answer was delivered.
        """
        self.in_progress.set(self.in_progress.value + 1)
        try:
            async with self._stop.scope() as scope:
                failed = await self._serve(request, sink)
            return _end_by_stop(request) if scope.expired() else failed
        finally:
            self.in_progress.set(self.in_progress.value - 1)

    async def _serve(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> GatewayError | None:
        account = self._catalog.account(request.account)
        if account is None:
            return GatewayError(403, "unknown_account", "the account is gone")
        refused = self._check_region_and_hops(request, account)
        if refused is None and self._quarantine is not None:
            refused = self._quarantine.check(request)
        if refused is not None:
            return refused
        if request.repeatable and request.stream:
            with self._held_bytes.reserve() as reservation:
                progress = StreamProgress(target=sink, reservation=reservation)
                return await self._attempt_all(request, account, progress)
        if request.repeatable or request.hops > 0:
            # For a forwarded request, the forwarding entry has claimed the key.
            return await self._attempt_all(request, account, sink)
        if self._at_most_once is None:
            return not_run("this entry keeps no claims", RETRY_AFTER_SECONDS)

        async def run(
            claimed: GatewayRequest, answer: AnswerSink
        ) -> GatewayError | None:
            return await self._attempt_all(claimed, account, answer)

        return await self._at_most_once.serve(request, account, sink, run)

    def _check_region_and_hops(
        self, request: GatewayRequest, account: Account
    ) -> GatewayError | None:
        region = self._membership.own.region
        if region not in account.regions:
            return GatewayError(
                403,
                "region_not_allowed",
                f"Account {account.name!r} may not be served in region {region!r}; "
                f"use one of {', '.join(account.regions)}.",
            )
        if request.hops > MAX_HOPS:
            return GatewayError(
                508, "forwarded_twice", "the request was forwarded twice"
            )
        return None

    async def _attempt_all(
        self, request: GatewayRequest, account: Account, sink: AnswerSink
    ) -> GatewayError | None:
        excluded: frozenset[UpstreamId] = frozenset()
        error: GatewayError | None = None
        route_request = self._route_request(request, account)
        request = request._replace(priority=route_request.rank.priority)
        for _ in range(MAX_ATTEMPTS):
            placed = await self._dispatcher.place(
                route_request._replace(excluded=excluded)
            )
            if isinstance(placed, Failure):
                return _final_error(error, placed.failure())
            placement = placed.unwrap()
            if isinstance(placement, ForwardRoute):
                attempt_error = await self._forwarder.forward(
                    request, placement.entry, sink
                )
                route_request = _after_forward(route_request, placement, attempt_error)
            else:
                attempt_error = await self._attempt_with_quarantine(
                    request, account, placement, sink
                )
                excluded |= {placement.upstream.id}
            if attempt_error is None:
                return None
            error = _final_error(error, attempt_error)
            if sink.closed or (sink.started and not _can_resume(sink)):
                return error
            if sink.started:
                # A started answer can't be continued with another entry's answer.
                route_request = route_request._replace(may_forward=False)
            if attempt_error.ran is not False and not request.repeatable:
                return error
            if attempt_error.type == "quarantined":
                return attempt_error
        return error

    def _route_request(self, request: GatewayRequest, account: Account) -> RouteRequest:
        shape = shape_of_body(request.body) if request.model else PromptShape()
        return RouteRequest(
            account=account,
            rank=self._catalog.rank(request.rank) or DEFAULT_RANK,
            model=request.model,
            service=request.service,
            prompt_tokens=shape.tokens,
            max_tokens=request.max_tokens,
            prefix_hashes=shape.prefix_hashes,
            may_forward=request.hops < MAX_HOPS,
            body_bytes=len(request.body),
        )

    async def _attempt_with_quarantine(
        self,
        request: GatewayRequest,
        account: Account,
        placement: LocalPlacement,
        sink: AnswerSink,
    ) -> GatewayError | None:
        """Make one attempt, in isolation if the request is marked for a crash."""
        quarantine = self._quarantine
        if quarantine is None:
            return await self._attempt_local(_resumed(request, sink), placement, sink)
        isolation = await quarantine.isolate(request)
        if isolation is None:
            placement.release()
            return not_run("others like it run first", RETRY_AFTER_SECONDS)
        isolation.watch(sink)
        try:
            resumed = _resumed(request, sink)
            attempt_error = await self._attempt_local(resumed, placement, sink)
            if attempt_error is None:
                quarantine.clear(request)
            elif attempt_error.ran is None and not sink.closed:
                await quarantine.record_failure(
                    request,
                    placement.upstream.address,
                    isolated=isolation.is_exclusive,
                    regions=account.regions,
                )
                return quarantine.check(request) or attempt_error
            return attempt_error
        finally:
            isolation.end()

    async def _attempt_local(
        self, request: GatewayRequest, placement: LocalPlacement, sink: AnswerSink
    ) -> GatewayError | None:
        upstream = placement.upstream
        try:
            outcome = await self._client.attempt(
                request=request, address=upstream.address, sink=sink
            )
        finally:
            placement.release()
        if outcome.status is AttemptStatus.DONE:
            await sink.finish()
            return None
        _log.warning(
            "attempt failed",
            upstream=upstream.id,
            status=outcome.status.value,
            reason=outcome.message,
        )
        if outcome.status is AttemptStatus.NOT_SENT:
            return not_run("no upstream was reached", RETRY_AFTER_SECONDS)
        if sink.started:
            return truncated_answer("the upstream broke off its answer")
        return outcome_unknown("the upstream was lost before it answered")

    def _fleet(self) -> Fleet:
        serving = self._membership.upstreams.serving.value
        self._loads.keep_only(serving)
        return Fleet(
            upstreams=serving,
            in_flight_by_id=self._loads.in_flight_by_id,
            zones=_zone_views(self._membership.summaries_by_entry()),
        )


def _end_by_stop(request: GatewayRequest) -> GatewayError:
    """Return the error of a request that the end of a drain has ended."""
    trace = current_trace()
    # Its key is kept as one that may have run.
    was_sent = bool(trace.attempts) or trace.forwarded or bool(request.key)
    return stopped() if was_sent else leaving(LEAVING_RETRY_SECONDS)


def _can_resume(sink: AnswerSink) -> bool:
    return isinstance(sink, StreamProgress) and sink.can_resume


def _resumed(request: GatewayRequest, sink: AnswerSink) -> GatewayRequest:
    if isinstance(sink, StreamProgress):
        return sink.request_of_next_attempt(request)
    return request


def _after_forward(
    request: RouteRequest, route: ForwardRoute, attempt_error: GatewayError | None
) -> RouteRequest:
    if attempt_error is not None and attempt_error.type == "overloaded":
        # The zone is at capacity, so its other entries would refuse too.
        return request._replace(may_forward=False)
    return request._replace(excluded_entries=request.excluded_entries | {route.entry})


def _final_error(earlier: GatewayError | None, latest: GatewayError) -> GatewayError:
    # Report "not run" only if no attempt may have run.
    if earlier is None or earlier.ran is False:
        return latest
    return earlier if latest.ran is False else latest


def _zone_views(summaries: tuple[ZoneSummary, ...]) -> tuple[ZoneView, ...]:
    summaries_by_zone: dict[str, list[ZoneSummary]] = {}
    for summary in summaries:
        summaries_by_zone.setdefault(summary.zone, []).append(summary)
    return tuple(
        ZoneView(
            zone=zone,
            region=zone_summaries[0].region,
            entries=tuple(summary.entry for summary in zone_summaries),
            models=zone_summaries[0].models,
            services=zone_summaries[0].services,
            running=sum(load.running for load in zone_summaries[0].loads),
            queued=sum(load.queued for load in zone_summaries[0].loads),
            capacity=sum(load.capacity for load in zone_summaries[0].loads),
        )
        for zone, zone_summaries in summaries_by_zone.items()
    )
