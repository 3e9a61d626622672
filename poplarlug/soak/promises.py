"""Checks of the gateway's guarantees against records of callers and upstreams."""

import json
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Container, Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

from poplarlug.soak.answers import encode_event
from poplarlug.soak.callers import Call
from poplarlug.soak.upstream import STREAM_EVENTS, Arrival
from poplarlug.types import Seconds

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request was not executed."""

REFUSALS = frozenset({400, 401, 403, 404, 413, 422})
"""Statuses that no request of the soak deserves, as its route is always there."""

MAX_ATTEMPTS = 2
"""Maximum upstreams that run a retryable request, as configured in the soak's routes."""

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

REQUEST_EVENT = "relay: request ended"
ERROR_LEVELS = ("error", "critical")
LIBRARIES = ("aiohttp", "asyncio", "concurrent", "grpc", "process:", "py.warnings")
"""Beginnings of the events that libraries, or Python itself, report."""

MAX_SHOWN_CHARACTERS = 160
"""Maximum length of the part of a log line that is quoted in a violation."""

EVENT_END = b"\n\n"
EVENTS = b"".join(encode_event(number, "x") for number in range(STREAM_EVENTS))


def check_calls(
    calls: Sequence[Call], arrivals: Iterable[Arrival], *, may_refuse_keys: bool = False
) -> list[str]:
    """
    Return a description of each violated guarantee.

    Parameters
    ----------
    arrivals : iterable of Arrival
        All requests that upstreams executed.
    may_refuse_keys : bool
        Whether callers have keys, and 401 is checked by them.
    """
    refusals = REFUSALS - {401} if may_refuse_keys else REFUSALS
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in arrivals:
        runs[arrival.request_id].append(arrival)
    broken = []
    for call in calls:
        broken += [
            f"{call.kind} {call.id} at {call.entry}: {what}"
            for what in _check_call(call, runs.get(call.id, []), refusals)
        ]
    known = {call.id for call in calls}
    unsent_ids = [request_id for request_id in runs if request_id not in known]
    broken += [f"request {one!r} was run but never sent" for one in unsent_ids]
    return broken


def check_answered(calls: Sequence[Call], reached_ids: Container[str]) -> list[str]:
    """
    Return a description of each request that got not even the head of an answer.

    Parameters
    ----------
    reached_ids : container of str
        Ids of the requests that entries or upstreams have seen.
    """
    return [
        f"{call.kind} {call.id} at {call.entry}: got no answer"
        for call in calls
        if not call.status and not call.answered_id and call.id in reached_ids
    ]


class ProcessLogs(NamedTuple):
    """
    What the logs of all processes show.

    Parameters
    ----------
    request_ids : frozenset of str
        Requests whose end an entry has logged.
    broken : tuple of str
        Lines that are no log lines, and errors that a library or a traceback reports.
    """

    request_ids: frozenset[str]
    broken: tuple[str, ...]


def read_logs(folder: Path) -> ProcessLogs:
    """Read the logs of a run's processes."""
    request_ids, broken = set(), []
    for path in sorted(folder.glob("*.log")):
        foreign_lines = []
        for line in path.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(line)
                event, level = str(fields["event"]), fields["level"]
            except (ValueError, TypeError, KeyError):
                foreign_lines.append(line[:MAX_SHOWN_CHARACTERS])
                continue
            if event == REQUEST_EVENT:
                request_ids.add(fields["request_id"])
            elif level in ERROR_LEVELS and (
                "exception" in fields or event.startswith(LIBRARIES)
            ):
                broken.append(f"{path.stem} logged {event[:MAX_SHOWN_CHARACTERS]!r}")
        if foreign_lines:
            first, last = foreign_lines[0], foreign_lines[-1]
            broken.append(
                f"{path.stem} wrote {len(foreign_lines)} lines that are no log lines,"
                f" from {first!r} to {last!r}"
            )
    return ProcessLogs(frozenset(request_ids), tuple(broken))


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


def _check_call(
    call: Call, runs: Sequence[Arrival], refusals: Container[int]
) -> Iterable[str]:
    count = len(runs)
    at_most_once = call.kind in ("book", "stream")
    if at_most_once and count > 1:
        yield f"ran {count} times"
    elif not at_most_once:
        yield from _check_repeats(call, runs)
    if at_most_once and call.status in NOT_RUN_STATUSES and count:
        yield f"was said not to have run by {call.status}, and ran"
    if call.status in refusals:
        yield f"was refused with {call.status} though its route is there"
    if call.kind in ("stream", "resume") and call.status in (0, 200):
        yield from _check_events(call.body, is_whole=call.status == 200)
    if call.status != 200:
        return
    if call.answered_id != call.id:
        yield f"got the answer to {call.answered_id!r}"
    if call.kind in ("look", "book"):
        expected = f"answer to {call.kind} {call.id}".encode()
        if call.body != expected:
            yield f"got the body {call.body[:60]!r}"
    if not count:
        yield "was answered with success and never ran"


def _check_repeats(call: Call, runs: Sequence[Arrival]) -> Iterable[str]:
    """
    Check that a request ran at few upstreams, and once at each.

    An upstream may be asked once more for a stream that may be resumed and that its
    connection ended.
    """
    counts = Counter(run.upstream_id for run in runs)
    allowed = Counter(counts.keys())
    if call.kind == "resume":
        allowed.update({run.upstream_id for run in runs if run.is_unframed})
    if len(counts) > MAX_ATTEMPTS or counts - allowed:
        yield f"ran {dict(counts)} times at upstreams"


def _check_events(body: bytes, *, is_whole: bool) -> Iterable[str]:
    """Check that a stream has each event once and in order, and all if it is whole."""
    *events, rest = body.split(EVENT_END)
    for number, event in enumerate(events):
        if event + EVENT_END != encode_event(number, "x"):
            yield f"got {event!r} as event {number} of a stream"
            return
    if is_whole and (rest or len(events) != STREAM_EVENTS):
        yield f"got a whole stream of {len(events)} of {STREAM_EVENTS} events"
