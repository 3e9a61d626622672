"""Keeps this entry from upstreams that asked for a pause or that are leaving."""

import re
from collections.abc import Callable, Iterable, Sequence

from prometheus_client import Counter, Gauge

from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.types import Seconds

MAX_PAUSE_SECONDS = 600.0
"""Upper bound of a pause; no upstream needs longer without restarting."""

UNKNOWN_RUN_TTL_SECONDS = 30.0
"""How long a departure is remembered while its upstream is unknown; a control replica
that has just started may report a leaving upstream again, as serving."""

MAX_DIGITS = 12
"""Maximum digits of a pause before and after the point."""

MAX_LOGGED_CHARACTERS = 32

LEAVING = "1"
"""Header value by which an upstream announces that it leaves."""

_PAUSE = re.compile(rf"\d{{1,{MAX_DIGITS}}}(\.\d{{1,{MAX_DIGITS}}})?", re.ASCII)

_PAUSED = Counter(
    "poplarlug_relay_pauses_total",
    "Pauses that upstreams asked this entry for.",
    registry=REGISTRY,
)
_LEAVING = Gauge(
    "poplarlug_relay_leaving_upstreams",
    "Upstreams whose responses to this entry said that they leave.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class UpstreamBackoff:
    """
    Remember which upstreams told this entry in a response not to send requests.

    It applies to one run of an upstream and to this entry alone, so it needs no contact
    to other VMs.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._leaving_known_at_by_run: dict[UpstreamRun, Seconds] = {}
        self._paused_until_by_run: dict[UpstreamRun, Seconds] = {}
        self._malformed: set[UpstreamRun] = set()

    @property
    def is_empty(self) -> bool:
        """Whether all upstreams may get requests."""
        return not self._leaving_known_at_by_run and not self._paused_until_by_run

    def note_leaving(self, upstream: ServiceUpstream, values: Sequence[str]) -> None:
        """Record the values of the header by which an upstream says that it leaves."""
        if LEAVING not in values or self.is_leaving(upstream):
            return
        self._leaving_known_at_by_run[upstream.run] = self._clock()
        _LEAVING.set(len(self._leaving_known_at_by_run))
        _log.info(
            "an upstream says that it leaves", upstream=upstream.id, born=upstream.born
        )

    def note_retry_after(
        self, upstream: ServiceUpstream, values: Sequence[str]
    ) -> None:
        """
        Record the ``Retry-After`` values of an upstream's refusal.

        The longest of several counts. Values that are no decimal number of seconds
        change nothing, dates included, as clocks of VMs may be wrong.
        """
        if not values:
            return
        seconds = parse_pause(values)
        if seconds is None:
            self._log_malformed(upstream, values)
            return
        until = self._clock() + seconds
        former = self._paused_until_by_run.get(upstream.run, 0.0)
        if until <= former or seconds <= 0:
            return
        self._paused_until_by_run[upstream.run] = until
        _PAUSED.inc()
        if former <= self._clock():
            _log.info(
                "an upstream asked for a pause",
                upstream=upstream.id,
                born=upstream.born,
                seconds=seconds,
            )

    def allows_send(self, upstream: ServiceUpstream) -> bool:
        """Return whether an upstream may get a request now."""
        return not self.is_leaving(upstream) and self.pause_left(upstream) <= 0

    def is_leaving(self, upstream: ServiceUpstream) -> bool:
        """Return whether an upstream said that it leaves."""
        return upstream.run in self._leaving_known_at_by_run

    def pause_left(self, upstream: ServiceUpstream) -> Seconds:
        """Return how much longer an upstream wants no request; 0 if it takes them."""
        until = self._paused_until_by_run.get(upstream.run)
        return 0.0 if until is None else max(0.0, until - self._clock())

    def shortest_pause(self, upstreams: Iterable[ServiceUpstream]) -> Seconds | None:
        """Return the shortest pause that is left, ``None`` if there is none."""
        left = (self.pause_left(upstream) for upstream in upstreams)
        return min((seconds for seconds in left if seconds > 0), default=None)

    def keep_only(self, known: Iterable[UpstreamRun]) -> None:
        """Drop runs that have been unknown for a while, and pauses that are over."""
        if self.is_empty and not self._malformed:
            return
        kept = set(known)
        now = self._clock()
        for run, known_at in list(self._leaving_known_at_by_run.items()):
            if run in kept:
                self._leaving_known_at_by_run[run] = now
            elif known_at < now - UNKNOWN_RUN_TTL_SECONDS:
                del self._leaving_known_at_by_run[run]
        _LEAVING.set(len(self._leaving_known_at_by_run))
        self._malformed &= kept
        self._paused_until_by_run = {
            run: until
            for run, until in self._paused_until_by_run.items()
            if until > now
        }

    def _log_malformed(self, upstream: ServiceUpstream, values: Sequence[str]) -> None:
        if upstream.run in self._malformed:
            return
        self._malformed.add(upstream.run)
        _log.warning(
            "an upstream's Retry-After can't be read, and changes nothing",
            upstream=upstream.id,
            value=", ".join(values)[:MAX_LOGGED_CHARACTERS],
        )


def parse_pause(values: Iterable[str]) -> Seconds | None:
    """
    Parse the ``Retry-After`` header of a response, in seconds.

    Parameters
    ----------
    values : iterable of str
        Values of the header; the longest of several applies.

    Returns
    -------
    float or None
        At most ``MAX_PAUSE_SECONDS``; ``None`` if no value is a decimal number.
    """
    texts = [text.strip() for text in values]
    pauses = [float(text) for text in texts if _PAUSE.fullmatch(text)]
    return min(MAX_PAUSE_SECONDS, max(pauses)) if pauses else None
