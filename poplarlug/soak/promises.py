"""Checks of the promises, from what callers and upstreams saw."""

from collections import Counter
from collections.abc import Iterable, Sequence

from poplarlug.soak.callers import Call
from poplarlug.soak.upstream import STREAM_EVENTS

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""

SAFE_RUNS = 2
"""Upstreams to which one request may be sent, as the soak's routes say."""

DEADLY_RUNS = 3
"""How often a request under which three upstreams ended may be sent again."""

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(STREAM_EVENTS))


def check_calls(calls: Sequence[Call], runs: Counter[str]) -> list[str]:
    """
    Return what broke a promise, one sentence each.

    Parameters
    ----------
    runs : Counter
        How often upstreams ran each request, by id.
    """
    broken = []
    for call in calls:
        broken += [f"{call.kind} {call.id}: {what}" for what in _check(call, runs)]
    known = {call.id for call in calls}
    strangers = [request_id for request_id in runs if request_id not in known]
    broken += [f"request {one!r} was run but never sent" for one in strangers]
    return broken


def _check(call: Call, runs: Counter[str]) -> Iterable[str]:
    count = runs[call.id]
    once = call.kind in ("book", "stream")
    if count > (1 if once else SAFE_RUNS):
        yield f"ran {count} times"
    if once and call.status in NOT_RUN_STATUSES and count:
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
