"""Records finished requests in metrics and in the request log."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from prometheus_client import Counter
from structlog.contextvars import bind_contextvars, reset_contextvars

from poplarlug.callers.metrics import (
    ANSWER_BYTES,
    DURATION,
    ERRORS,
    FIRST_TOKEN,
    FORWARDS,
    IN_PROGRESS,
    LOG_DROPPED,
    REQUESTS,
)
from poplarlug.errors import GatewayError
from poplarlug.requestlog import RequestLog, RequestRecord
from poplarlug.serving.trace import RequestTrace, reset_trace, set_trace
from poplarlug.topology import EntryVm
from poplarlug.types import RankName, RequestId, Seconds

NO_RANK = "none"


class RequestObserver:
    """
    Record callers' requests at one entry.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time in seconds.
    wall_clock : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        log: RequestLog,
        clock: Callable[[], Seconds],
        wall_clock: Callable[[], Seconds],
    ) -> None:
        self._own = own
        self._log = log
        self._clock = clock
        self._wall_clock = wall_clock
        self._counters_by_rank: dict[RankName, _RankCounters] = {}
        self._in_progress = 0
        IN_PROGRESS.set_function(lambda: self._in_progress)
        LOG_DROPPED.set_function(lambda: log.dropped)

    @contextmanager
    def observe(self, request_id: RequestId) -> Iterator[RequestTrace]:
        """Trace the request served in this context; log lines carry its id."""
        trace = RequestTrace(request_id=request_id, started_at=self._clock())
        token = set_trace(trace)
        bound = bind_contextvars(request_id=request_id)
        self._in_progress += 1
        try:
            yield trace
        except BaseException:
            # Its handler was ended, so its caller has no whole answer.
            trace.abandoned = True
            raise
        finally:
            self._in_progress -= 1
            reset_contextvars(**bound)
            reset_trace(token)
            self._end(trace)

    def _end(self, trace: RequestTrace) -> None:
        record = self._record(trace)
        counters = self._counters_of(record.rank or NO_RANK)
        counters.count(outcome_of(trace))
        if record.error:
            ERRORS.labels(record.error).inc()
        elif record.status < 400:
            counters.duration.observe(record.total_seconds)
        if record.first_token_seconds is not None:
            counters.first_token.observe(record.first_token_seconds)
        if trace.forwarded:
            FORWARDS.labels(record.rank).inc()
        ANSWER_BYTES.inc(trace.bytes)
        self._log.add(record)

    def _counters_of(self, rank: RankName) -> "_RankCounters":
        counters = self._counters_by_rank.get(rank)
        if counters is None:
            counters = self._counters_by_rank[rank] = _RankCounters(rank=rank)
        return counters

    def _record(self, trace: RequestTrace) -> RequestRecord:
        request, head, error = trace.request, trace.head, trace.error
        first_byte_at = trace.first_byte_at
        return RequestRecord(
            time=round(self._wall_clock(), 3),
            request_id=trace.request_id,
            entry=self._own.name,
            region=self._own.region,
            account=trace.account,
            rank=request.rank if request else "",
            target=(request.model or request.service or "") if request else "",
            stream=request.stream if request else False,
            zone=head.zone if head else "",
            served_by=head.served_by if head else "",
            status=_status(trace),
            error=error.type if error else "",
            ran=error.ran if error else not trace.abandoned or None,
            first_token_seconds=_elapsed(trace.started_at, first_byte_at),
            total_seconds=round(self._clock() - trace.started_at, 6),
            attempts=trace.attempts,
            forwarded=trace.forwarded,
            bytes=trace.bytes,
        )


class _RankCounters:
    """Metrics of one rank, cached to avoid label lookups for each request."""

    def __init__(self, *, rank: RankName) -> None:
        self.duration = DURATION.labels(rank)
        self.first_token = FIRST_TOKEN.labels(rank)
        self._rank = rank
        self._requests_by_outcome: dict[str, Counter] = {}

    def count(self, outcome: str) -> None:
        requests = self._requests_by_outcome.get(outcome)
        if requests is None:
            requests = REQUESTS.labels(self._rank, outcome)
            self._requests_by_outcome[outcome] = requests
        requests.inc()


def _elapsed(started: Seconds, ended: Seconds | None) -> Seconds | None:
    return None if ended is None else round(ended - started, 6)


def outcome_of(trace: RequestTrace) -> str:
    """Return the outcome of a request: the ``outcome`` label, one of six values."""
    if trace.abandoned:
        return "abandoned"
    if trace.error is not None:
        return _error_outcome(trace.error)
    if trace.head is not None and trace.head.status >= 400:
        return "upstream_error"
    return "answered"


def _error_outcome(error: GatewayError) -> str:
    if error.status < 500 and error.status != 429:
        return "rejected"
    return "refused" if error.ran is False else "failed"


def _status(trace: RequestTrace) -> int:
    if trace.abandoned:
        return 0
    if trace.error is not None:
        return trace.error.status
    return trace.head.status if trace.head is not None else 0
