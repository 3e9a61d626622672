"""Serves a request on a route: places, attempts and the answer or its refusal."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import aiohttp
from prometheus_client import Counter, Histogram
from returns.result import Failure

from poplarlug.errors import (
    HELD_APART,
    QUARANTINED,
    GatewayError,
    held_apart,
    not_run,
    outcome_unknown,
)
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.budgets import RetryBudget, RetryLimits
from poplarlug.relay.client import RelayClient, SendError, SendErrorKind
from poplarlug.relay.course import Course, Outcome
from poplarlug.relay.dialect import Dialect
from poplarlug.relay.dispatcher import Dispatcher, FarPlace, LocalPlace, Place
from poplarlug.relay.held_bytes import HeldBytes
from poplarlug.relay.hop_headers import (
    HOPS,
    ORIGIN,
    PATIENCE,
    REFUSED,
    TABLE_VERSION,
    decode_refusal,
)
from poplarlug.relay.limiter import MAX_LOGGED_CHARACTERS
from poplarlug.relay.passing import drop_rest, pass_on
from poplarlug.relay.requests import RelayRequest
from poplarlug.relay.suspects import Suspects, Verdict
from poplarlug.relay.trace import RelayTrace
from poplarlug.relay.view import FleetView
from poplarlug.serving.answers import AnswerSink
from poplarlug.types import Seconds, ServiceName, VmName

ENTRY_PAUSE_SECONDS = 2.0
"""How long an entry that broke a forward is left alone."""

REFUSED_RETRY_SECONDS = 0.2
"""When to come back after an upstream refused; its queue moves on within that."""

TURN_RETRY_SECONDS = 0.5
"""When to come back for a turn; the run before it ends within that, or is judged."""

REST_SECONDS = 0.2
"""How long the rest of a refusal's body may take, so that its connection is kept."""

PATIENCE_SHARE = 2.5
"""What may be repeated is sent elsewhere after this many objectives."""

MIN_PATIENCE_SECONDS = 0.8

_SENDS = Counter(
    "poplarlug_relay_sends_total",
    "Sends to upstreams and other entries, by target and how they ended.",
    ["target", "outcome"],
    registry=REGISTRY,
)
_FIRST_ANSWER_SECONDS = Histogram(
    "poplarlug_relay_first_answer_seconds",
    "From a send to the head of its answer.",
    ["target"],
    buckets=(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0),
    registry=REGISTRY,
)


_log = ComponentLogger(prefix="relay")


class RelayGateway:
    """
    Run requests at upstreams of the region, or through entries of other regions.

    Parameters
    ----------
    name : VmName
        This entry, as the origin of what it hands on.
    suspects : Suspects
        Holds back requests under which upstreams crash.
    """

    def __init__(
        self,
        *,
        name: VmName,
        view: FleetView,
        dispatcher: Dispatcher,
        client: RelayClient,
        far_client: RelayClient,
        suspects: Suspects,
        dialect: Dialect,
        retry_limits: RetryLimits,
        clock: Callable[[], Seconds],
    ) -> None:
        self._name = name
        self._view = view
        self._deployment = view.deployment
        self._in_flight = view.in_flight
        self._dispatcher = dispatcher
        self._client = client
        self._far_client = far_client
        self._suspects = suspects
        self._dialect = dialect
        self._retry_limits = retry_limits
        self._clock = clock
        self._held_bytes = HeldBytes()
        self._budgets_by_service: dict[ServiceName, RetryBudget] = {}

    async def serve(
        self, request: RelayRequest, sink: AnswerSink, trace: RelayTrace
    ) -> GatewayError | None:
        """
        Run ``request`` and pass its answer to ``sink``.

        Returns
        -------
        GatewayError or None
            ``None`` once the whole answer was passed on.
        """
        budget = self._budget_of(request.service)
        if request.hops == 0:
            budget.note_request()
        course = Course(request=request, sink=sink, trace=trace)
        while True:
            if self._suspects.verdict(course) is Verdict.QUARANTINED:
                refusal = self._suspects.refusal(course, self._clock())
                return course.refuse(refusal)
            found = await self._dispatcher.find(course.request, course.tried)
            if isinstance(found, Failure):
                refusal = found.failure()
                trace.step("no place", self._clock(), reason=refusal.message)
                return await course.give_up(refusal)
            placed = found.unwrap()
            if course.arrivals and not budget.take(self._entries()):
                self._give_back(placed)
                trace.step("no repeat", self._clock(), reason="retry budget")
                return await course.give_up()
            is_suspect = self._suspects.verdict(course) is not Verdict.CLEAR
            if is_suspect:
                outcome = await self._run_suspect(course, placed)
            else:
                patience = self._patience(course, budget)
                course.may_move = partial(self._may_move, course, budget, placed)
                outcome = await self._run(course, placed, patience)
            if outcome.error is None:
                return None
            if outcome.error.type == QUARANTINED:
                return course.refuse(outcome.error)
            if outcome.error.type == HELD_APART or (
                is_suspect and outcome.may_have_run
            ):
                return await course.give_up()
            if not course.may_go_on(self._clock()):
                return await course.give_up()

    async def _run(self, course: Course, placed: Place, patience: Seconds) -> Outcome:
        if isinstance(placed, LocalPlace):
            outcome = await self._run_local(course, placed, patience)
            course.ran_at_upstream(placed.upstream.id, outcome)
        else:
            outcome = await self._run_far(course, placed, patience)
            course.ran_in_region(placed.entry.region, outcome)
        return outcome

    async def _run_suspect(self, course: Course, placed: Place) -> Outcome:
        """Run a suspect in its turn, at the entry that runs it."""
        patience = course.request.deadline - self._clock()
        course.may_move = lambda: False
        holder = None
        if not course.request.hops:
            holder = self._view.holder_of(
                course.request, course.fingerprint, course.tried
            )
        if holder is not None:
            self._give_back(placed)
            placed = FarPlace(holder, placed.expected_seconds, placed.loss)
        if isinstance(placed, FarPlace):
            return await self._run(course, placed, patience)
        outcome = await self._run_in_turn(course, placed, patience)
        course.ran_at_upstream(placed.upstream.id, outcome)
        return outcome

    async def _run_in_turn(
        self, course: Course, placed: LocalPlace, patience: Seconds
    ) -> Outcome:
        turn = None
        try:
            turn = await self._suspects.take_turn(course, placed.upstream, patience)
        finally:
            if turn is None:
                self._give_back(placed)
        if turn is None:
            return Outcome(held_apart(TURN_RETRY_SECONDS), arrived=False)
        if self._suspects.verdict(course) is Verdict.QUARANTINED:
            self._give_back(placed)
            turn.end(None)
            return Outcome(self._suspects.refusal(course, self._clock()), arrived=False)
        course.settled = None
        try:
            return await self._run_local(course, placed, patience, apart=True)
        finally:
            turn.end(course.settled)

    def _give_back(self, placed: Place) -> None:
        if isinstance(placed, LocalPlace):
            self._dispatcher.release(placed.flight, failed=False)

    def _patience(self, course: Course, budget: RetryBudget) -> Seconds:
        """Return how long one send may take to its first answer."""
        request = course.request
        left = request.deadline - self._clock()
        if not course.may_repeat_later or not budget.has_room(self._entries()):
            return left
        objective = request.route.objective_seconds
        return min(left, max(MIN_PATIENCE_SECONDS, PATIENCE_SHARE * objective))

    def _may_move(self, course: Course, budget: RetryBudget, placed: Place) -> bool:
        """
        Return whether a stream that stands still is to be taken up elsewhere.

        Its upstream or entry has to be lost for that. One that is there may be busy
        with others, and a place that looks free may be refused when it is asked for.
        """
        if not self._is_lost(placed) or not course.may_repeat_later:
            return False
        if not budget.has_room(self._entries()):
            return False
        tried = course.tried
        if isinstance(placed, LocalPlace):
            tried = tried.with_upstream(placed.upstream.id)
        else:
            tried = tried.with_region(placed.entry.region)
        return self._dispatcher.has_place(course.request, tried)

    def _is_lost(self, placed: Place) -> bool:
        """Return whether where a request runs gave no sign for long, or is gone."""
        if isinstance(placed, LocalPlace):
            return self._deployment.upstream(placed.upstream.id) is None
        return placed.entry.name not in self._deployment.entries_by_name

    async def _run_local(
        self,
        course: Course,
        placed: LocalPlace,
        patience: Seconds,
        *,
        apart: bool = False,
    ) -> Outcome:
        upstream = placed.upstream
        now = self._clock()
        course.trace.step(
            "sent",
            now,
            upstream=upstream.id,
            running=self._in_flight.load(upstream.id).running,
            ahead_ms=placed.ahead_ms,
            read_ms=placed.flight.read_ms,
            apart=apart,
            **self._view.limiter.describe(upstream),
            loss=round(placed.loss, 3),
            expected_ms=round(placed.expected_seconds * 1000),
            view_age_ms=round(self._deployment.age_seconds * 1000),
        )
        failed = True
        outcome: Outcome | None = None
        try:
            outcome = await self._attempt(course, placed, patience)
            failed = outcome.error is not None and outcome.error.ran is None
            return outcome
        except asyncio.CancelledError:
            failed = False
            raise
        finally:
            self._dispatcher.release(placed.flight, failed=failed)
            course.settled = self._suspects.note(course, upstream, outcome, apart=apart)

    async def _attempt(
        self, course: Course, placed: LocalPlace, patience: Seconds
    ) -> Outcome:
        request, trace = course.request, course.trace
        dialect = self._dialect
        left = request.deadline - self._clock()
        headers = [
            *request.headers,
            (dialect.expected_upstream, placed.upstream.id),
            (dialect.deadline, str(max(1, int(left * 1000)))),
        ]
        if request.route.prompts:
            headers.append((dialect.priority, str(min(9, request.route.rank))))
        started = self._clock()
        sent = await self._client.send(
            target=placed.upstream.address,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            timeout_seconds=patience,
        )
        now = self._clock()
        if isinstance(sent, Failure):
            return self._note_failed("upstream", sent.failure(), trace, now)
        response = sent.unwrap()
        try:
            self._note_head("upstream", response, trace, now, started)
            self._hear_limit(request, placed, response, started)
            refused = await self._check_head(request, placed, response)
            if refused is not None:
                return refused
            placed.flight.got_error = response.status >= 500
            self._in_flight.first_event(
                placed.flight, ahead_ms=placed.ahead_ms, seconds=now - started
            )
            return await pass_on(course, response, self._held_bytes)
        finally:
            response.close()

    def _hear_limit(
        self,
        request: RelayRequest,
        placed: LocalPlace,
        response: aiohttp.ClientResponse,
        asked: Seconds,
    ) -> None:
        """Take in what an answer says of a limit, if it is the upstream's own."""
        dialect = self._dialect
        headers = response.headers
        has_run = dialect.signature in headers
        is_own = response.status != 421 and (has_run or dialect.not_executed in headers)
        if is_own and headers.get(dialect.request_id) == request.id:
            self._view.limiter.hear(
                placed.upstream,
                headers.getall(dialect.limit, ()),
                asked=asked,
                has_run=has_run,
            )

    async def _check_head(
        self,
        request: RelayRequest,
        placed: LocalPlace,
        response: aiohttp.ClientResponse,
    ) -> Outcome | None:
        """Return what speaks against passing an answer on, ``None`` when nothing does."""
        dialect = self._dialect
        headers = response.headers
        echoed = headers.get(dialect.request_id)
        if echoed is not None and echoed != request.id:
            return Outcome(outcome_unknown("the upstream answered another request"))
        if response.status == 421 or dialect.not_executed in headers:
            cold = _milliseconds(headers.get(dialect.cold_left, ""))
            if cold:
                self._in_flight.note_cold(placed.upstream.id, cold)
            message = f"the upstream refused it with status {response.status}"
            await _read_rest(response)
            return Outcome(not_run(message, REFUSED_RETRY_SECONDS))
        if dialect.signature not in headers:
            return Outcome(outcome_unknown("the answer is not an upstream's"))
        if headers.get("Content-Encoding", "identity").lower() != "identity":
            return Outcome(outcome_unknown("the answer came in an encoding"))
        return None

    async def _run_far(
        self, course: Course, placed: FarPlace, patience: Seconds
    ) -> Outcome:
        request, trace = course.request, course.trace
        entry = placed.entry
        started = self._clock()
        routes = self._deployment.routes
        assert routes is not None
        trace.step(
            "handed on",
            started,
            entry=entry.name,
            region=entry.region,
            loss=round(placed.loss, 3),
            expected_ms=round(placed.expected_seconds * 1000),
            view_age_ms=round(self._deployment.age_seconds * 1000),
        )
        left = request.deadline - started
        sent = await self._far_client.send(
            target=entry.forwards,
            method=request.method,
            path=request.path,
            headers=[
                *request.headers,
                (self._dialect.deadline, str(max(1, int(left * 1000)))),
                (HOPS, str(request.hops + 1)),
                (ORIGIN, self._name),
                (TABLE_VERSION, str(routes.version)),
                (PATIENCE, str(int(patience * 1000))),
            ],
            body=request.body,
            timeout_seconds=patience,
        )
        now = self._clock()
        if isinstance(sent, Failure):
            error = sent.failure()
            self._view.avoid_entry(entry.name, ENTRY_PAUSE_SECONDS)
            if error.kind is not SendErrorKind.TIMEOUT:
                self._view.note_entry_failed(request.service, entry.region)
            return self._note_failed("entry", error, trace, now)
        response = sent.unwrap()
        try:
            self._note_head("entry", response, trace, now, started)
            refused = response.headers.get(REFUSED)
            if refused is not None:
                refusal = decode_refusal(refused, f"refused by {entry.name}")
                if refusal is not None and refusal.status == 503:
                    self._view.note_region_failed(request.service, entry.region)
                unknown = outcome_unknown("the entry's refusal can't be read")
                return Outcome(refusal or unknown)
            if response.headers.get(self._dialect.request_id, request.id) != request.id:
                return Outcome(outcome_unknown("the entry answered another request"))
            self._view.note_region_served(request.service, entry.region)
            return await pass_on(course, response, self._held_bytes)
        finally:
            response.close()

    def _note_head(
        self,
        target: str,
        response: aiohttp.ClientResponse,
        trace: RelayTrace,
        now: Seconds,
        started: Seconds,
    ) -> None:
        _SENDS.labels(target, "answered").inc()
        _FIRST_ANSWER_SECONDS.labels(target).observe(now - started)
        fields: dict[str, Any] = {"status": response.status}
        limit = response.headers.get(self._dialect.limit)
        if limit is not None:
            fields["limit"] = limit[:MAX_LOGGED_CHARACTERS]
        trace.step("answered", now, **fields)

    def _note_failed(
        self, target: str, error: SendError, trace: RelayTrace, now: Seconds
    ) -> Outcome:
        _SENDS.labels(target, error.kind.value).inc()
        trace.step("send failed", now, kind=error.kind.value, reason=error.message)
        if error.kind is SendErrorKind.NOT_SENT:
            failed = not_run("no connection stood", REFUSED_RETRY_SECONDS)
            return Outcome(failed, arrived=False)
        if error.kind is SendErrorKind.TIMEOUT:
            message = "no answer came within the time"
            return Outcome(GatewayError(504, "timed_out", message, None, None))
        failed = outcome_unknown("the connection was lost before an answer")
        return Outcome(failed, broke=True)

    def _budget_of(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(limits=self._retry_limits, clock=self._clock)
            self._budgets_by_service[service] = budget
        return budget

    def _entries(self) -> int | None:
        """Return how many entries share the budgets, ``None`` while unknown."""
        if not self._deployment.knows_all_entries:
            return None
        return self._deployment.count_sharers()


async def _read_rest(response: aiohttp.ClientResponse) -> None:
    try:
        async with asyncio.timeout(REST_SECONDS):
            await drop_rest(response.content)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        _log.debug("the rest of a refusal did not come", error=repr(error))


def _milliseconds(text: str) -> Seconds:
    """Return seconds from a header in milliseconds, 0 when it is no number."""
    return int(text) / 1000 if text.isdecimal() and len(text) < 10 else 0.0
