"""Checks of what holds for teams, their keys and quotas."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.quotas import QuotaBounds
from poplarlug.soak.callers import Call
from poplarlug.soak.teams import REVOCATION_SECONDS, KeyHistory
from poplarlug.soak.upstream import Arrival
from poplarlug.teams import Quota
from poplarlug.types import Seconds

HOT_SHARE = 0.5
"""Fraction of its quota of a window that a team gets at least, if it asks for more."""


def is_entitled(call: Call, history_by_key: Mapping[str, KeyHistory]) -> bool:
    """Return whether all entries had to know the key of a call until its end."""
    history = history_by_key.get(call.key)
    return (
        history is not None
        and history.usable_at <= call.sent
        and call.ended < history.dropped_at
    )


def is_revoked(call: Call, history_by_key: Mapping[str, KeyHistory]) -> bool:
    """Return whether a call was sent later than its key may be taken."""
    history = history_by_key.get(call.key)
    return history is None or call.sent > history.revoked_at + REVOCATION_SECONDS


def check_keys(
    calls: Sequence[Call],
    arrivals: Iterable[Arrival],
    history_by_key: Mapping[str, KeyHistory],
) -> list[str]:
    """Return a description of each violated guarantee about keys."""
    calls_by_id = {call.id: call for call in calls}
    broken = []
    ran_ids = set()
    for arrival in arrivals:
        call = calls_by_id.get(arrival.request_id)
        if call is None:
            continue
        ran_ids.add(call.id)
        what = f"{call.kind} {call.id} at {call.entry}"
        if is_revoked(call, history_by_key):
            broken.append(f"{what}: ran with {_describe(call, history_by_key)}")
        elif arrival.headers.get(HEADER_NAMES.team) != history_by_key[call.key].team:
            told = arrival.headers.get(HEADER_NAMES.team)
            broken.append(f"{what}: ran for the team {told!r} with {call.key}")
        if any(call.key in value for value in arrival.headers.values()):
            broken.append(f"{what}: its key reached an upstream")
    for call in calls:
        what = f"{call.kind} {call.id} at {call.entry}"
        if call.status == 401 and call.id in ran_ids:
            broken.append(f"{what}: was refused with 401, and ran")
        if call.status == 401 and is_entitled(call, history_by_key):
            broken.append(f"{what}: {call.key} was refused, which is in force")
    return broken


def _describe(call: Call, history_by_key: Mapping[str, KeyHistory]) -> str:
    history = history_by_key.get(call.key)
    if history is None:
        return f"{call.key}, which never was a key"
    age = call.sent - history.revoked_at
    return f"{call.key}, sent {age:.2f} s after its end was acknowledged"


def check_quota(
    calls: Iterable[Call],
    arrivals: Iterable[Arrival],
    quota: Quota,
    bounds: QuotaBounds,
) -> list[str]:
    """
    Return a description of the fullest window, if it holds more than is allowed.

    Counted are a team's requests that were both sent and ran in the window, once each.

    Parameters
    ----------
    calls : iterable of Call
        The team's requests.
    """
    ran_by_id: dict[str, Seconds] = {}
    for arrival in arrivals:
        at = ran_by_id.get(arrival.request_id, arrival.at)
        ran_by_id[arrival.request_id] = min(at, arrival.at)
    spans = sorted(
        (call.sent, ran_by_id[call.id]) for call in calls if call.id in ran_by_id
    )
    allowed = bounds.amount(quota) + bounds.reserve(quota)
    fullest, began = 0, 0.0
    for number, (start, _) in enumerate(spans):
        ends = sorted(ran for _, ran in spans[number:])
        count = bisect_right(ends, start + bounds.window_seconds)
        if count > fullest:
            fullest, began = count, start
    if fullest <= allowed:
        return []
    return [
        f"{fullest} requests of a team in the {bounds.window_seconds} s from {began:.2f},"
        f" allowed {allowed}"
    ]


def check_hot_team(
    calls: Iterable[Call], quota: Quota, bounds: QuotaBounds, until: Seconds
) -> list[str]:
    """Return a description if a team over its quota got little of it before ``until``."""
    statuses: dict[int, int] = defaultdict(int)
    for call in calls:
        if until - bounds.window_seconds <= call.ended <= until:
            statuses[call.status] += 1
    owed = HOT_SHARE * (quota.per_second * bounds.window_seconds)
    if statuses[200] >= owed:
        return []
    return [
        f"the hot team got {statuses[200]} of {owed} requests in its last window"
        f" ({dict(statuses)})"
    ]
