"""Results of an attempt to own a key."""

from collections import Counter
from typing import NamedTuple

from poplarlug.claims.records import ClaimRecord, ClaimRequest, ClaimState, Vote


class Owned(NamedTuple):
    """This entry owns the key and may send the request."""

    request: ClaimRequest


class Taken(NamedTuple):
    """Another attempt owns the key, according to ``record``."""

    record: ClaimRecord


class Refused(NamedTuple):
    """No majority of holders voted; ``reason`` is why, ``None`` if unreachable."""

    reason: Vote | None


def result_without_majority(
    votes: Counter[Vote], records: list[ClaimRecord]
) -> Taken | Refused:
    """Return the result of an attempt without a majority, preferring an outcome."""
    final = [r for r in records if r.state is not ClaimState.CLAIMED]
    if final:
        return Taken(max(final, key=lambda r: r.state is ClaimState.DONE))
    if records:
        counts = Counter(record.attempt for record in records)
        most = counts.most_common(1)[0][0]
        return Taken(next(r for r in records if r.attempt == most))
    for reason in (Vote.FULL, Vote.RECOVERING):
        if votes[reason]:
            return Refused(reason)
    return Refused(None)


def has_ended(records: list[ClaimRecord]) -> bool:
    """Return whether a record shows the outcome of the key's request."""
    return any(record.state is not ClaimState.CLAIMED for record in records)
