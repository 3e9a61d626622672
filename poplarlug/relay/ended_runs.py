"""Runs of upstreams that have ended though control still reports them as serving."""

from collections.abc import Callable

from prometheus_client import Counter

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.types import Seconds

HEARD_SECONDS = 10.0
"""A run that is still reported after this time was heard from since: its record expires
six seconds after its last heartbeat, which may arrive seconds late."""

_ENDED = Counter(
    "poplarlug_relay_ended_runs_total",
    "Runs of upstreams at whose address nothing listened any more.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class EndedRuns:
    """
    Remember the runs at whose address nothing listened.

    Load pattern: an upstream restarts under its id with another software version, and
    its first heartbeat is late. What its former run announced doesn't hold for it.
    """

    def __init__(self, *, deployment: Deployment, clock: Callable[[], Seconds]) -> None:
        self._deployment = deployment
        self._clock = clock
        self._noted_at_by_run: dict[UpstreamRun, Seconds] = {}

    def note(self, upstream: ServiceUpstream) -> None:
        """Record that nothing listens at the address of an upstream."""
        if upstream.run not in self._noted_at_by_run:
            _ENDED.inc()
            _log.info(
                "nothing listens at an upstream's address; its version is unknown"
                " until it is heard from",
                upstream=upstream.id,
                born=upstream.born,
                version=upstream.version,
            )
        self._noted_at_by_run[upstream.run] = self._clock()

    def has(self, upstream: ServiceUpstream) -> bool:
        """Return whether the run that ``upstream`` describes has ended."""
        if not self._noted_at_by_run:
            return False
        noted_at = self._noted_at_by_run.get(upstream.run)
        if noted_at is None:
            return False
        view_at = self._deployment.last_reply_requested_at.value
        if view_at < noted_at + HEARD_SECONDS:
            return True
        del self._noted_at_by_run[upstream.run]
        return False

    def ended_since(self, upstream: ServiceUpstream, since: Seconds) -> bool:
        """Return whether nothing listened at the address after a time of the clock."""
        return self._noted_at_by_run.get(upstream.run, float("-inf")) >= since

    def forget_gone(self) -> None:
        """Drop the runs that are known to have ended, or are replaced by later ones."""
        known = self._deployment.upstream_runs()
        for run in self._noted_at_by_run.keys() - known:
            del self._noted_at_by_run[run]
