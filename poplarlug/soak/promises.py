"""Checks of the gateway's guarantees against records of callers and upstreams."""

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from poplarlug.soak.callers import Call
from poplarlug.soak.upstream import STREAM_EVENTS
from poplarlug.types import Seconds

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request was not executed."""

MAX_RETRYABLE_RUNS = 2
"""Maximum executions of a retryable request, as configured in the soak's routes."""

MAX_REQUEST_CRASHES = 3
"""How often a request that crashed this many upstreams may be sent after recovery."""

LIMIT_GRACE_SECONDS = 5.0
"""Time from the first announcement of a limit until it has to be enforced.

The users' requirements set this value.
"""

WINDOW_SECONDS = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
"""Any window may hold ``LIMIT_OVERAGE`` times the limit plus ``LIMIT_SLACK`` requests."""

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(STREAM_EVENTS))


def check_calls(calls: Sequence[Call], runs: Counter[str]) -> list[str]:
    """
    Return a description of each violated guarantee.

    Parameters
    ----------
    runs : Counter
        Number of executions by upstreams, by request id.
    """
    broken = []
    for call in calls:
        broken += [f"{call.kind} {call.id}: {what}" for what in _check_call(call, runs)]
    known = {call.id for call in calls}
    unsent_ids = [request_id for request_id in runs if request_id not in known]
    broken += [f"request {one!r} was run but never sent" for one in unsent_ids]
    return broken


class LimitPeriod(NamedTuple):
    """Period in which an upstream announced a rate limit, in monotonic time."""

    began: Seconds
    ended: Seconds
    rate: float


def check_limits(received: Sequence[Seconds], period: LimitPeriod) -> list[str]:
    """
    Return a description of the first window in which a rate limit was exceeded.

    Parameters
    ----------
    received : sequence of float
        Monotonic times of all requests that the upstream received.

    Returns
    -------
    list of str
        One description, or none if the limit was respected.
    """
    times = sorted(
        at
        for at in received
        if period.began + LIMIT_GRACE_SECONDS <= at <= period.ended
    )
    allowed = LIMIT_OVERAGE * WINDOW_SECONDS * period.rate + LIMIT_SLACK
    for first, start in enumerate(times):
        count = bisect_right(times, start + WINDOW_SECONDS) - first
        if count > allowed:
            after = round(start - period.began, 1)
            return [
                f"{count} requests in {WINDOW_SECONDS} s to an upstream that named "
                f"{period.rate} a second {after} s before; allowed {allowed}"
            ]
    return []


def _check_call(call: Call, runs: Counter[str]) -> Iterable[str]:
    count = runs[call.id]
    at_most_once = call.kind in ("book", "stream")
    if count > (1 if at_most_once else MAX_RETRYABLE_RUNS):
        yield f"ran {count} times"
    if at_most_once and call.status in NOT_RUN_STATUSES and count:
        yield f"was said not to have run by {call.status}, and ran"
    if call.status in (400, 401, 403, 404, 413, 422):
        yield f"was refused with {call.status} though its route is there"
    if call.status != 200:
        return
    if call.answered_id != call.id:
        yield f"got the answer to {call.answered_id!r}"
    if call.kind in ("look", "book"):
        expected = f"answer to {call.kind} {call.id}".encode()
        if call.body != expected:
            yield f"got the body {call.body[:60]!r}"
    elif call.body != EVENTS:
        yield "got a whole stream that lacks events, or has them twice"
    if not count:
        yield "was answered with success and never ran"
