"""Tells whether the end of an answer's bytes shows that the answer is whole."""

from enum import Enum

import aiohttp

from poplarlug.discovery.records import UpstreamRun
from poplarlug.relay.events import EventProgress

TRUSTED_ENDS = 3
"""Unframed streams in a row that an upstream must have confirmed as whole."""

MAX_RUNS = 1024
"""Runs of upstreams whose ends are remembered; a region has fewer."""


class Framing(Enum):
    """What tells where the body of an answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """Neither of them: the body lasts until the connection ends."""


class StreamEnd(Enum):
    """What the end of a stream's bytes shows."""

    WHOLE = "whole"
    WITHIN_EVENT = "within event"
    """It broke off before its first event, or within one."""

    NO_REST = "no rest"
    """It was to be resumed, and its answer has no event."""

    UNCERTAIN = "uncertain"
    """Only the connection ended, which looks the same if the upstream has ended."""

    REPEATED = "repeated"
    """The same, right behind the last event, which the upstream was asked for again."""


def framing_of(response: aiohttp.ClientResponse, method: str) -> Framing:
    """
    Return how the body of an answer to a request of ``method`` is framed.

    It is in chunks only if that is the last of its transfer codings (RFC 9112, 6.3).
    """
    codings = ",".join(response.headers.getall("Transfer-Encoding", ())).split(",")
    if codings[-1].strip().lower() == "chunked":
        return Framing.CHUNKS
    has_no_body = method == "HEAD" or response.status in (204, 304)
    if has_no_body or response.content_length is not None:
        return Framing.LENGTH
    return Framing.CONNECTION


def end_of_stream(
    framing: Framing, events: EventProgress, max_events: int | None
) -> StreamEnd:
    """
    Return what the end of a stream's bytes shows.

    Parameters
    ----------
    max_events : int or None
        The most events that the stream can have; ``None`` if nobody says.
    """
    is_framed = framing is not Framing.CONNECTION
    if not events.ends_with_event or not (is_framed or events.last_id):
        return StreamEnd.WITHIN_EVENT
    if events.has_all(max_events):
        return StreamEnd.WHOLE
    if not events.has_rest:
        return StreamEnd.NO_REST
    if is_framed:
        return StreamEnd.WHOLE
    return StreamEnd.REPEATED if events.has_only_repeat else StreamEnd.UNCERTAIN


class ConfirmedEnds:
    """
    How many unframed streams in a row each upstream has confirmed as whole.

    Load pattern: most answers of a service have no framing, and asking about each would
    take more repeats than the retry budget allows. An upstream that has only sent whole
    ones is believed then; one that has ended a stream early is not.
    """

    def __init__(self) -> None:
        self._counts_by_run: dict[UpstreamRun, int] = {}

    def note(self, run: UpstreamRun, *, is_whole: bool) -> None:
        """Record what an upstream answered when it was asked for its last event again."""
        count = self._counts_by_run.pop(run, 0)
        # Reinserted, so that the first one in order is the longest ago.
        self._counts_by_run[run] = count + 1 if is_whole else 0
        if len(self._counts_by_run) > MAX_RUNS:
            del self._counts_by_run[next(iter(self._counts_by_run))]

    def are_trusted(self, run: UpstreamRun) -> bool:
        """Return whether a stream of an upstream may count as whole unasked."""
        return self._counts_by_run.get(run, 0) >= TRUSTED_ENDS
