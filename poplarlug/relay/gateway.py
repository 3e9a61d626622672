"""Serves a request on a route: placement, attempts, and its response or refusal."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from returns.result import Failure, Result, Success

from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.errors import (
    HELD_APART,
    LEAVING,
    QUARANTINED,
    GatewayError,
    held_apart,
    leaving,
    outcome_unknown,
    stopped,
)
from poplarlug.logs import ComponentLogger
from poplarlug.quotas import Charge, QuotaCharging
from poplarlug.relay.answer_end import ConfirmedEnds
from poplarlug.relay.budgets import RetryBudget, RetryLimits
from poplarlug.relay.client import RelayClient, SendErrorKind
from poplarlug.relay.context import (
    Outcome,
    RequestContext,
    ignore,
    ignore_left,
    is_unknown,
)
from poplarlug.relay.dispatcher import Dispatcher, LocalTarget, RemoteTarget, Target
from poplarlug.relay.event_format import EventFormat
from poplarlug.relay.events import EventProgress
from poplarlug.relay.header_names import HeaderNames
from poplarlug.relay.held_bytes import HeldBytesBudget
from poplarlug.relay.hop_headers import (
    HOPS,
    ORIGIN,
    PATIENCE,
    REFUSED,
    SOFTWARE_VERSION,
    TABLE_VERSION,
    TRIED,
    UPSTREAM,
    decode_refusal,
)
from poplarlug.relay.passing import relay_response
from poplarlug.relay.planned_stop import LEAVING_RETRY_SECONDS, PlannedStop
from poplarlug.relay.requests import RelayRequest
from poplarlug.relay.resumption import Resumption
from poplarlug.relay.run_watch import RunWatch, RunWatches
from poplarlug.relay.send_results import SendResults
from poplarlug.relay.suspects import SuspectLock, Suspects, Verdict
from poplarlug.relay.trace import RelayTrace
from poplarlug.relay.view import FleetView
from poplarlug.serving.answers import AnswerSink
from poplarlug.teams import AUTHORIZATION
from poplarlug.types import Seconds, ServiceName, VmName

ENTRY_BACKOFF_SECONDS = 2.0
"""How long an entry is avoided after a forward to it failed."""

LOCK_RETRY_SECONDS = 0.5
"""Retry time of a suspect that got no lock. Within that time the run that holds the
lock ends, or its verdict is known."""

ATTEMPT_TIMEOUT_OBJECTIVES = 2.5
"""A repeatable request without a response is retried elsewhere after this many
objectives."""

MIN_ATTEMPT_TIMEOUT_SECONDS = 0.8

_log = ComponentLogger(prefix="relay")


class RelayGateway:
    """
    Run requests at upstreams of the own region, or through entries of other regions.

    Parameters
    ----------
    name : VmName
        This entry, sent as the origin of the requests that it forwards.
    resumption : Resumption
        Keeps resumed streams at the software version that began them.
    stood_still_since : callable
        Returns whether this process stood still after a time of the clock.
    stop : PlannedStop, optional
        Ends the requests that outlast the drain of a stopping entry.
    suspects : Suspects
        Quarantines or isolates requests under which upstreams crash.
    quotas : QuotaCharging, optional
        Charges callers' requests to the quotas of their teams.
    """

    def __init__(
        self,
        *,
        name: VmName,
        view: FleetView,
        dispatcher: Dispatcher,
        client: RelayClient,
        forward_client: RelayClient,
        suspects: Suspects,
        resumption: Resumption,
        header_names: HeaderNames,
        retry_limits: RetryLimits,
        clock: Callable[[], Seconds],
        stood_still_since: Callable[[Seconds], bool] = lambda at: False,
        stop: PlannedStop | None = None,
        quotas: QuotaCharging | None = None,
    ) -> None:
        self._quotas = quotas
        self._name = name
        self._view = view
        self._deployment = view.deployment
        self._in_flight = view.in_flight
        self._dispatcher = dispatcher
        self._client = client
        self._forward_client = forward_client
        self._suspects = suspects
        self._resumption = resumption
        self._header_names = header_names
        self._event_format = EventFormat(first_field=header_names.weight_versions)
        self._retry_limits = retry_limits
        self._clock = clock
        self._stood_still_since = stood_still_since
        self._stop = stop or PlannedStop(clock=clock)
        self._results = SendResults(view=view, header_names=header_names)
        self._held_bytes = HeldBytesBudget()
        self._confirmed_ends = ConfirmedEnds()
        self._run_watches = RunWatches()
        self._budgets_by_service: dict[ServiceName, RetryBudget] = {}
        self._background: set[asyncio.Task[Outcome]] = set()

    async def serve(
        self,
        request: RelayRequest,
        sink: AnswerSink,
        trace: RelayTrace,
        *,
        on_left: Callable[["asyncio.Future[Any]"], None] = ignore_left,
    ) -> GatewayError | None:
        """
        Run ``request`` and relay its response to ``sink``.

        Parameters
        ----------
        on_left : callable
            Called with a send that runs on without its caller, and still holds the body.

        Returns
        -------
        GatewayError or None
            ``None`` once the complete response was relayed.
        """
        budget = self._budget_of(request.service)
        if request.hops == 0:
            budget.note_request()
        context = RequestContext(
            request=request,
            sink=sink,
            trace=trace,
            event_format=self._event_format,
            max_events=self._max_events(request),
        )
        context.on_left = on_left
        charge = Charge()
        failed: GatewayError | None = None
        try:
            async with self._stop.scope() as scope:
                charged = await self._charge(request)
                if isinstance(charged, Failure):
                    return charged.failure()
                charge = charged.unwrap()
                failed = await self._run_with_version(context, budget)
        except asyncio.CancelledError:
            # An unsafe request runs on without its caller.
            if (
                not (context.is_sending or context.arrivals)
                and request.route.kind != "unsafe"
            ):
                self._give_back(charge)
            raise
        if scope.expired():
            trace.step(
                "drain ended",
                self._clock(),
                was_sent=context.is_sending,
                last_id=None if context.events is None else context.events.last_id,
            )
            failed = context.stop()
        if failed is None:
            return None
        if failed.ran is False:
            self._give_back(charge)
        return failed._replace(tried=context.tried.upstreams)

    async def _charge(self, request: RelayRequest) -> Result[Charge, GatewayError]:
        """Charge a request to its team's quota, at the first entry only."""
        if request.hops or self._quotas is None:
            return Success(Charge())
        return await self._quotas.charge(request.team, request.stated_tokens)

    def _give_back(self, charge: Charge) -> None:
        if self._quotas is not None and charge.id:
            self._quotas.give_back(charge)

    @property
    def is_idle(self) -> bool:
        """Whether no request runs on whose caller has left."""
        return not self._background

    async def _run_with_version(
        self, context: RequestContext, budget: RetryBudget
    ) -> GatewayError | None:
        refusal = await self._require_version(context)
        if refusal is not None:
            return context.refuse(refusal)
        if context.events is None or context.request.hops:
            return await self._run_attempts(context, budget)
        with self._resumption.renewing(context):
            return await self._run_attempts(context, budget)

    def _max_events(self, request: RelayRequest) -> int | None:
        """Return the most events that a stream can have, ``None`` if unknown."""
        if self._deployment.routes is None or not request.prompt.max_tokens:
            return None
        tokens_per_event = self._tokens_per_event(request.service)
        return math.ceil(request.prompt.max_tokens / tokens_per_event)

    def _tokens_per_event(self, service_name: ServiceName) -> int:
        """Return the tokens in an event of a stream, at least one."""
        routes = self._deployment.routes
        service = None if routes is None else routes.services_by_name.get(service_name)
        engine = None if service is None else service.engine
        return 1 if engine is None else max(1, engine.tokens_per_event)

    async def _require_version(self, context: RequestContext) -> GatewayError | None:
        """Choose the version of a stream that may be resumed, or return a refusal."""
        request = context.request
        if context.events is None or request.hops:
            return None
        if not context.events.last_id:
            context.require_version(self._resumption.preferred_version(request))
            return None
        found = await self._resumption.find_version(request)
        if isinstance(found, Failure):
            return found.failure()
        context.trace.note(required_version=found.unwrap())
        context.require_version(found.unwrap())
        return None

    async def _run_attempts(
        self, context: RequestContext, budget: RetryBudget
    ) -> GatewayError | None:
        trace = context.trace
        while True:
            if self._suspects.verdict(context) is Verdict.QUARANTINED:
                refusal = self._suspects.refusal(context, self._clock())
                return context.refuse(refusal)
            found = await self._dispatcher.find(context.request, context.tried)
            if isinstance(found, Failure):
                refusal = found.failure()
                trace.step("no place", self._clock(), reason=refusal.message)
                if context.asks_again:
                    context.stop_asking_again()
                    if context.prepare_retry(self._clock()):
                        continue
                return await context.give_up(refusal)
            target = found.unwrap()
            if context.arrivals and not budget.try_acquire(self._entry_count()):
                self._release(target)
                trace.step("no repeat", self._clock(), reason="retry budget")
                return await context.give_up()
            is_suspect = self._suspects.verdict(context) is not Verdict.CLEAR
            if is_suspect:
                outcome = await self._run_suspect(context, target)
            else:
                timeout_seconds = self._attempt_timeout(context, budget)
                context.must_ask_again = partial(self._must_ask_again, budget, target)
                context.can_resume_elsewhere = partial(
                    self._can_resume_elsewhere, context, budget, target
                )
                outcome = await self._run(context, target, timeout_seconds)
            if outcome.error is None or outcome.is_ended_here:
                return outcome.error
            if outcome.error.type == QUARANTINED:
                return context.refuse(outcome.error)
            if outcome.error.type == HELD_APART or (
                is_suspect and outcome.may_have_run
            ):
                return await context.give_up()
            if not context.prepare_retry(self._clock()):
                return await context.give_up()

    async def _run(
        self, context: RequestContext, target: Target, timeout_seconds: Seconds
    ) -> Outcome:
        if isinstance(target, LocalTarget):
            sent = self._run_local(context, target, timeout_seconds)
            outcome = await self._run_to_end(context, sent)
            if context.asks_again:
                self._note_asked_again(context, target.upstream, outcome)
            context.note_upstream_outcome(target.upstream.id, outcome)
        else:
            outcome = await self._run_remote(context, target, timeout_seconds)
            if _is_leaving(outcome):
                # Its region has other entries.
                context.note_outcome(outcome)
            else:
                context.note_region_outcome(target.entry.region, outcome)
        return outcome

    def _note_asked_again(
        self, context: RequestContext, upstream: ServiceUpstream, outcome: Outcome
    ) -> None:
        """Record whether the stream in doubt was whole, if its upstream told."""
        events = context.events
        assert events is not None
        if outcome.error is None and events.has_only_repeat:
            self._confirmed_ends.note(upstream.run, is_whole=True)
        elif events.has_rest and not events.has_only_repeat:
            self._confirmed_ends.note(upstream.run, is_whole=False)

    async def _run_suspect(self, context: RequestContext, target: Target) -> Outcome:
        """Run a suspect under its lock, at the one entry where such requests run."""
        timeout_seconds = context.request.deadline - self._clock()
        context.can_resume_elsewhere = lambda: False
        suspect_entry = None
        # Another entry would send it to another upstream than the one to ask again.
        if not context.request.hops and not context.asks_again:
            suspect_entry = self._view.suspect_entry(
                context.request,
                self._suspects.broadest_suspect(context),
                context.tried,
            )
        if suspect_entry is not None:
            self._release(target)
            target = RemoteTarget(suspect_entry, target.expected_seconds, target.loss)
        if isinstance(target, RemoteTarget):
            return await self._run(context, target, timeout_seconds)
        outcome = await self._run_with_lock(context, target, timeout_seconds)
        context.note_upstream_outcome(target.upstream.id, outcome)
        return outcome

    async def _run_with_lock(
        self, context: RequestContext, target: LocalTarget, timeout_seconds: Seconds
    ) -> Outcome:
        lock = None
        try:
            lock = await self._suspects.acquire_lock(
                context, target.upstream, timeout_seconds
            )
        finally:
            if lock is None:
                self._release(target)
        if lock is None:
            return Outcome(held_apart(LOCK_RETRY_SECONDS), arrived=False)
        if self._suspects.verdict(context) is Verdict.QUARANTINED:
            self._release(target)
            lock.release(None)
            return Outcome(
                self._suspects.refusal(context, self._clock()), arrived=False
            )
        if not self._dispatcher.may_start(context.request):
            self._release(target)
            lock.release(None)
            return Outcome(leaving(LEAVING_RETRY_SECONDS), arrived=False)
        sent = self._run_locked(context, target, timeout_seconds, lock)
        return await self._run_to_end(context, sent)

    async def _run_locked(
        self,
        context: RequestContext,
        target: LocalTarget,
        timeout_seconds: Seconds,
        lock: SuspectLock,
    ) -> Outcome:
        context.crash_check = None
        # Each attempt of a suspect needs its lock.
        context.must_ask_again = lambda: False
        try:
            return await self._run_local(context, target, timeout_seconds, apart=True)
        finally:
            lock.release(context.crash_check)

    async def _run_to_end(
        self, context: RequestContext, sent: Coroutine[Any, Any, Outcome]
    ) -> Outcome:
        """
        Run a send, even if the caller leaves meanwhile and the request is unsafe.

        One that still waits for its place, here or at another entry, ends with its
        caller instead.
        """
        if context.request.route.kind != "unsafe":
            return await sent
        task = asyncio.ensure_future(sent)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.done():
                context.on_left(task)
            raise

    def _release(self, target: Target) -> None:
        if isinstance(target, LocalTarget):
            self._dispatcher.release(target.in_flight_request, failed=False)

    def _attempt_timeout(self, context: RequestContext, budget: RetryBudget) -> Seconds:
        """Return the timeout of one attempt for the head of its response."""
        request = context.request
        left = request.deadline - self._clock()
        has_retry = context.has_retry_left and budget.has_room(self._entry_count())
        if not has_retry and not context.asks_again:
            return left
        objective = request.route.objective_seconds
        return min(
            left,
            max(MIN_ATTEMPT_TIMEOUT_SECONDS, ATTEMPT_TIMEOUT_OBJECTIVES * objective),
        )

    def _must_ask_again(self, budget: RetryBudget, target: Target) -> bool:
        """Return whether a target must be asked whether its stream was whole."""
        if isinstance(target, RemoteTarget):
            return True
        is_trusted = self._confirmed_ends.are_trusted(target.upstream.run)
        return not is_trusted or budget.has_room(self._entry_count())

    def _can_resume_elsewhere(
        self, context: RequestContext, budget: RetryBudget, target: Target
    ) -> bool:
        """
        Return whether a stalled stream should be resumed elsewhere.

        Only if its upstream or entry is lost: a live one may just be busy with other
        requests, and a target whose slot looks free may still refuse the stream.
        """
        if not self._is_lost(target) or not context.has_retry_left:
            return False
        if not budget.has_room(self._entry_count()):
            return False
        tried = context.tried
        if isinstance(target, LocalTarget):
            tried = tried.with_upstream(target.upstream.id)
        else:
            tried = tried.with_region(target.entry.region)
        return self._dispatcher.can_place(context.request, tried)

    def _is_lost(self, target: Target) -> bool:
        """Return whether the target is gone, or has been silent for too long."""
        if isinstance(target, LocalTarget):
            return self._deployment.upstream(target.upstream.id) is None
        return target.entry.name not in self._deployment.entries_by_name

    async def _run_local(
        self,
        context: RequestContext,
        target: LocalTarget,
        timeout_seconds: Seconds,
        *,
        apart: bool = False,
    ) -> Outcome:
        upstream = target.upstream
        context.target = upstream.id
        now = self._clock()
        context.trace.step(
            "sent",
            now,
            upstream=upstream.id,
            version=upstream.version,
            running=self._in_flight.load(upstream.id).running,
            ahead_ms=target.ahead_ms,
            read_ms=target.in_flight_request.read_ms,
            cached_tokens=target.in_flight_request.cached_tokens,
            **self._view.rate_fields(upstream),
            apart=apart,
            asks_again=context.asks_again,
            **self._view.limiter.log_fields(upstream),
            loss=round(target.loss, 3),
            expected_ms=round(target.expected_seconds * 1000),
            view_age_ms=round(self._deployment.age_seconds * 1000),
        )
        failed = True
        outcome: Outcome | None = None
        try:
            outcome = await self._attempt(context, target, timeout_seconds)
            failed = (
                outcome.error is not None
                and outcome.error.ran is None
                and not outcome.is_uncertain
                and not outcome.is_ended_here
            )
            return outcome
        except asyncio.CancelledError:
            failed = False
            if self._stop.has_drained:
                outcome = Outcome(stopped(), is_ended_here=True)
            raise
        finally:
            self._dispatcher.release(target.in_flight_request, failed=failed)
            context.crash_check = self._suspects.note_outcome(
                context, upstream, outcome, apart=apart
            )

    async def _attempt(
        self, context: RequestContext, target: LocalTarget, timeout_seconds: Seconds
    ) -> Outcome:
        request, trace = context.request, context.trace
        header_names = self._header_names
        left = request.deadline - self._clock()
        headers = [
            *request.headers,
            (header_names.expected_upstream, target.upstream.id),
            (header_names.deadline, str(max(1, int(left * 1000)))),
        ]
        if request.team is not None:
            headers.append((header_names.team, request.team.name))
        if request.route.prompts:
            headers.append((header_names.priority, str(min(9, request.rank))))
        started = self._clock()
        context.is_sending = True
        sent = await self._client.send(
            target=target.upstream.address,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            timeout_seconds=timeout_seconds,
        )
        now = self._clock()
        if isinstance(sent, Failure):
            error = sent.failure()
            if error.kind is SendErrorKind.NOT_SENT and not error.is_own:
                self._suspects.note_unreachable(target.upstream)
            return self._results.note_failed("upstream", error, trace, now)
        response = sent.unwrap()
        try:
            self._results.note_head("upstream", response, trace, now, started)
            refused = await self._results.check_head(target.upstream, response, started)
            if refused is not None:
                return refused
            target.in_flight_request.got_error = response.status >= 500
            self._in_flight.note_first_event(
                target.in_flight_request,
                ahead_ms=target.ahead_ms,
                seconds=now - started,
            )
            if context.events is not None:
                target.in_flight_request.follow_stream(
                    partial(
                        _received_tokens,
                        context.events,
                        self._tokens_per_event(request.service),
                    ),
                    now=now,
                )
            context.upstream_version = target.upstream.version
            if not request.hops:
                context.record_start = partial(
                    self._resumption.record_start, request, target.upstream.version
                )
            with self._run_watches.watch(target.upstream.address) as run_watch:
                context.is_listening = partial(
                    self._is_still_listening, target.upstream, started, run_watch
                )
                context.note_slow_caller = run_watch.start
                outcome = await relay_response(context, response, self._held_bytes)
            return outcome._replace(status=response.status)
        finally:
            response.close()

    async def _is_still_listening(
        self, upstream: ServiceUpstream, since: Seconds, run_watch: RunWatch
    ) -> bool:
        """
        Return whether an upstream accepts connections after one of them has ended.

        If this process stood still or its caller read slowly meanwhile, the upstream's
        successor may have its address; if another connection was refused meanwhile, it
        has.
        """
        if self._stood_still_since(since):
            return False
        is_same = await run_watch.is_same_run()
        return is_same and not self._view.ended_runs.ended_since(upstream, since)

    async def _run_remote(
        self, context: RequestContext, target: RemoteTarget, timeout_seconds: Seconds
    ) -> Outcome:
        request, trace = context.request, context.trace
        entry = target.entry
        context.target = entry.name
        context.remote_upstream = ""
        context.is_listening = is_unknown
        context.note_slow_caller = ignore
        started = self._clock()
        routes = self._deployment.routes
        assert routes is not None
        trace.step(
            "handed on",
            started,
            entry=entry.name,
            region=entry.region,
            loss=round(target.loss, 3),
            expected_ms=round(target.expected_seconds * 1000),
            view_age_ms=round(self._deployment.age_seconds * 1000),
        )
        left = request.deadline - started
        context.is_sending = True
        sent = await self._forward_client.send(
            target=entry.forwards,
            method=request.method,
            path=request.path,
            headers=[
                *request.headers,
                (self._header_names.deadline, str(max(1, int(left * 1000)))),
                (HOPS, str(request.hops + 1)),
                (ORIGIN, self._name),
                (TABLE_VERSION, str(routes.version)),
                (PATIENCE, str(int(timeout_seconds * 1000))),
                *_version_header(request),
                *_key_header(request),
                *((TRIED, upstream) for upstream in sorted(context.tried.upstreams)),
            ],
            body=request.body,
            timeout_seconds=timeout_seconds,
        )
        now = self._clock()
        if isinstance(sent, Failure):
            error = sent.failure()
            if not error.is_own:
                self._view.avoid_entry(entry.name, ENTRY_BACKOFF_SECONDS)
            if not error.is_own and error.kind is not SendErrorKind.TIMEOUT:
                self._view.note_entry_failed(request.service, entry.region)
            return self._results.note_failed("entry", error, trace, now)
        response = sent.unwrap()
        try:
            self._results.note_head("entry", response, trace, now, started)
            unreliable = self._results.check_source("entry", response)
            if unreliable is not None:
                return unreliable
            refused = response.headers.get(REFUSED)
            if refused is not None:
                tried = response.headers.getall(TRIED, ())
                context.tried = context.tried.with_upstreams(tried)
                refusal = decode_refusal(refused, f"refused by {entry.name}")
                if refusal is None:
                    unknown = "the entry's refusal can't be read"
                    return Outcome(outcome_unknown(unknown))
                self._note_refused(request, entry, refusal)
                return Outcome(refusal)
            self._view.note_region_served(request.service, entry.region)
            context.remote_upstream = response.headers.get(UPSTREAM, "")
            version = response.headers.get(SOFTWARE_VERSION, "")
            context.upstream_version = version
            context.record_start = partial(
                self._resumption.record_start, request, version
            )
            return await relay_response(context, response, self._held_bytes)
        finally:
            response.close()

    def _note_refused(
        self, request: RelayRequest, entry: EntryRecord, refusal: GatewayError
    ) -> None:
        if refusal.type == LEAVING:
            self._view.avoid_entry(entry.name, ENTRY_BACKOFF_SECONDS)
        elif refusal.status == 503:
            self._view.note_region_failed(request.service, entry.region)

    def _budget_of(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(limits=self._retry_limits, clock=self._clock)
            self._budgets_by_service[service] = budget
        return budget

    def _entry_count(self) -> int | None:
        """Return the number of entries that share the budgets, ``None`` while unknown."""
        if not self._deployment.knows_all_entries:
            return None
        return self._deployment.count_entries_sharing_budgets()


def _received_tokens(events: EventProgress, tokens_per_event: int) -> int:
    """Return about how many tokens the events of a stream held so far."""
    return events.passed_events * tokens_per_event


def _version_header(request: RelayRequest) -> list[tuple[str, str]]:
    if request.version is None:
        return []
    return [(SOFTWARE_VERSION, request.version)]


def _key_header(request: RelayRequest) -> list[tuple[str, str]]:
    """Return the caller's key, by which another entry finds its team again."""
    if not request.authorization:
        return []
    return [(AUTHORIZATION, request.authorization)]


def _is_leaving(outcome: Outcome) -> bool:
    return outcome.error is not None and outcome.error.type == LEAVING
