"""Zone summaries: aggregate state that zones report to each other, with its age."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from poplarlug.membership.rendezvous import rank_by_rendezvous
from poplarlug.membership.upstreams import Announcement
from poplarlug.types import (
    ConfigVersion,
    ModelName,
    RegionName,
    Seconds,
    ServiceName,
    VmName,
    ZoneName,
)

SUMMARY_INTERVAL_SECONDS = 2.0
SUMMARY_TTL_SECONDS = 6.0
MAX_SUMMARY_NAMES = 64
MAX_SUMMARY_ENTRIES = 6
FORWARD_ENTRIES_PER_ZONE = 3
REPORTER_FAILOVER_SECONDS = 2.5
"""Age of the stored summary from which one by another reporter replaces it. Together
with the report interval and the time to share a report in the zone, it is shorter than
the TTL of the stored summary."""


class ModelLoad(NamedTuple):
    """
    Total load of the upstreams that serve one model in a zone.

    Parameters
    ----------
    capacity : int
        Sum of the reported maximum numbers of concurrent requests.
    """

    model: ModelName
    upstreams: int
    running: int
    queued: int
    capacity: int


class ZoneSummary(NamedTuple):
    """
    Aggregate state of a zone, reported to the other zones.

    Parameters
    ----------
    entry : VmName
        Entry to forward to; on the wire, the reporter.
    incarnation, sequence : int
        Order the summaries of one reporter.
    age : float
        Seconds since the reporter read its tables.
    entries : tuple of VmName
        Least loaded entries of the zone, at most :data:`MAX_SUMMARY_ENTRIES`.
    loads : tuple of ModelLoad
        Load per model; ``models`` lists the same names.
    backup : bool
        Whether it is from the second reporter, which stands in if the first one fails.
    """

    zone: ZoneName
    region: RegionName
    entry: VmName
    sequence: int
    models: tuple[ModelName, ...] = ()
    services: tuple[ServiceName, ...] = ()
    running: int = 0
    incarnation: int = 0
    age: Seconds = 0.0
    entries: tuple[VmName, ...] = ()
    loads: tuple[ModelLoad, ...] = ()
    queued: int = 0
    capacity: int = 0
    config_version: ConfigVersion = 0
    backup: bool = False


def summarize_models(upstreams: Iterable[Announcement]) -> tuple[ModelLoad, ...]:
    """Return the load per model, for at most :data:`MAX_SUMMARY_NAMES` models."""
    loads_by_model: dict[ModelName, ModelLoad] = {}
    for upstream in upstreams:
        for model in upstream.models:
            current = loads_by_model.get(model, ModelLoad(model, 0, 0, 0, 0))
            loads_by_model[model] = ModelLoad(
                model,
                current.upstreams + 1,
                current.running + upstream.running,
                current.queued + upstream.queued,
                current.capacity + upstream.capacity,
            )
    return tuple(sorted(loads_by_model.values())[:MAX_SUMMARY_NAMES])


def zone_pair_key(source: ZoneName, target: ZoneName) -> str:
    """Return the rendezvous key that selects the reporters and receivers of a pair."""
    return f"{source}\0{target}"


class SummaryTable:
    """
    The latest summary of each other zone and the time at which its state was read.

    Parameters
    ----------
    own : VmName
        Name of this entry; rendezvous key by which different entries choose different
        entries to forward to.
    clock : callable
        Returns the event loop's time in seconds.
    """

    def __init__(self, *, own: VmName, clock: Callable[[], Seconds]) -> None:
        self._own = own
        self._clock = clock
        self._summaries_by_zone: dict[ZoneName, tuple[Seconds, ZoneSummary]] = {}

    def apply(self, summary: ZoneSummary) -> bool:
        """Apply a summary; return whether it replaced the stored one of its zone."""
        if summary.age >= SUMMARY_TTL_SECONDS:
            return False
        read_at = self._clock() - max(0.0, summary.age)
        current = self._summaries_by_zone.get(summary.zone)
        if current is not None and not self._replaces(summary, *current):
            return False
        models = tuple(load.model for load in summary.loads) or summary.models
        self._summaries_by_zone[summary.zone] = (
            read_at,
            summary._replace(models=models),
        )
        return True

    def age(self, zone: ZoneName) -> Seconds:
        """Return the age in seconds of the summary of ``zone``; infinite without one."""
        current = self._summaries_by_zone.get(zone)
        return float("inf") if current is None else self._clock() - current[0]

    def fresh(self) -> list[ZoneSummary]:
        """Return the summaries within their TTL, each with its current age."""
        now = self._clock()
        return [
            summary._replace(age=now - read_at)
            for read_at, summary in self._summaries_by_zone.values()
            if now - read_at < SUMMARY_TTL_SECONDS
        ]

    def get(self, zone: ZoneName) -> ZoneSummary | None:
        """Return the summary of ``zone``, or ``None`` if it is missing or expired."""
        return next((s for s in self.fresh() if s.zone == zone), None)

    def by_entry(self) -> tuple[ZoneSummary, ...]:
        """Return the fresh summaries, one per entry to forward to."""
        return tuple(
            summary._replace(entry=entry)
            for summary in self.fresh()
            for entry in rank_by_rendezvous(self._own, summary.entries)[
                :FORWARD_ENTRIES_PER_ZONE
            ]
        )

    def clear(self) -> None:
        """Drop all summaries, as after a pause of this process."""
        self._summaries_by_zone.clear()

    def _replaces(
        self, summary: ZoneSummary, current_read_at: Seconds, current: ZoneSummary
    ) -> bool:
        if summary.entry == current.entry:
            own = (summary.incarnation, summary.sequence)
            return own > (current.incarnation, current.sequence)
        if current.backup and not summary.backup:
            return True
        return self._clock() - current_read_at > REPORTER_FAILOVER_SECONDS
