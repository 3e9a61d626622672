"""Load estimates of upstreams between their reports, and concurrency limits."""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from poplarlug.membership.upstreams import Announcement
from poplarlug.types import UpstreamId

UNKNOWN_CAPACITY = 64
MAX_LIMIT = 1024
MIN_LIMIT = 1.0
LIMIT_DECREASE_FACTOR = 0.9
LIMIT_INCREASE = 1.0
PRUNE_SLACK = 64


class UpstreamLoad:
    """Load of one upstream as estimated by this entry."""

    __slots__ = ("in_flight", "incarnation", "limit", "others_in_flight", "sequence")

    def __init__(self, *, limit: float) -> None:
        self.in_flight = 0
        self.others_in_flight = 0
        self.limit = limit
        self.incarnation = -1
        self.sequence = -1


class UpstreamLoads:
    """
    Track the load of each upstream and an AIMD limit on this entry's requests.

    A report counts the requests of all entries. Subtracting this entry's requests
    in flight when the report arrives gives the load of the other entries, which
    is assumed constant until the next report; this entry's own requests are
    counted as they start and end. While the limit is nearly reached, each report
    without a queue raises it by ``LIMIT_INCREASE``; while at least half of it is
    used, each report with a queue multiplies it by ``LIMIT_DECREASE_FACTOR``.

    Parameters
    ----------
    entry_count : int
        Number of entries that send to the same upstreams.
    """

    def __init__(self, *, entry_count: int = 1) -> None:
        self.entry_count = entry_count
        # Incremented on every start and end, so that callers can cache sums.
        self.version = 0
        self._loads_by_id: dict[UpstreamId, UpstreamLoad] = {}
        self._in_flight_by_id: Counter[UpstreamId] = Counter()

    @property
    def in_flight_by_id(self) -> Mapping[UpstreamId, int]:
        """This entry's requests in flight, by upstream; zero counts are absent."""
        return self._in_flight_by_id

    def __len__(self) -> int:
        return len(self._loads_by_id)

    def record_start(self, upstream: Announcement) -> None:
        """Record the start of a request at ``upstream``."""
        self.version += 1
        self._load(upstream).in_flight += 1
        self._in_flight_by_id[upstream.id] += 1

    def record_end(self, upstream: Announcement) -> None:
        """Record the end of a request at ``upstream``."""
        self.version += 1
        self._load(upstream).in_flight -= 1
        self._in_flight_by_id[upstream.id] -= 1
        if not self._in_flight_by_id[upstream.id]:
            del self._in_flight_by_id[upstream.id]

    def in_flight(self, upstream: Announcement) -> int:
        """Return this entry's requests in flight at ``upstream``."""
        return self._load(upstream).in_flight

    def total(self, upstream: Announcement) -> int:
        """Return the estimated requests of all entries at ``upstream``."""
        load = self._load(upstream)
        return load.others_in_flight + load.in_flight

    def limit(self, upstream: Announcement) -> int:
        """Return this entry's concurrency limit at ``upstream``."""
        return int(self._load(upstream).limit)

    def free_slots(self, upstream: Announcement) -> int:
        """Return how many more requests this entry's limit allows now."""
        load = self._load(upstream)
        return max(0, int(load.limit) - load.in_flight)

    def shared_free_slots(self, upstream: Announcement) -> int:
        """Return the slots left for all entries together."""
        load = self._load(upstream)
        capacity = upstream.capacity or MAX_LIMIT
        return max(0, capacity - load.others_in_flight - load.in_flight)

    def view(self, upstream: Announcement) -> UpstreamLoad:
        """Return the load of ``upstream``; callers must not modify it."""
        load = self._loads_by_id.get(upstream.id)
        if load is None or load.sequence != upstream.sequence:
            return self._load(upstream)
        return load

    def slots(self, upstreams: Iterable[Announcement]) -> tuple[int, int, int]:
        """Sum :meth:`free_slots`, :meth:`limit` and :meth:`shared_free_slots`."""
        free = total = shared = 0
        loads_by_id = self._loads_by_id
        for upstream in upstreams:
            load = loads_by_id.get(upstream.id)
            if load is None or load.sequence != upstream.sequence:
                load = self._load(upstream)
            limit = int(load.limit)
            in_flight = load.in_flight
            total += limit
            if limit > in_flight:
                free += limit - in_flight
            left = (upstream.capacity or MAX_LIMIT) - load.others_in_flight - in_flight
            if left > 0:
                shared += left
        return free, total, shared

    def keep_only(self, upstreams: Collection[Announcement]) -> None:
        """Drop idle upstreams that are no longer among ``upstreams``."""
        if len(self._loads_by_id) <= len(upstreams) + PRUNE_SLACK:
            return
        upstream_ids = {upstream.id for upstream in upstreams}
        for upstream_id, load in list(self._loads_by_id.items()):
            if upstream_id not in upstream_ids and load.in_flight == 0:
                del self._loads_by_id[upstream_id]

    def _initial_limit(self, upstream: Announcement) -> float:
        capacity = upstream.capacity or UNKNOWN_CAPACITY
        return max(MIN_LIMIT, math.ceil(capacity / self.entry_count))

    def _load(self, upstream: Announcement) -> UpstreamLoad:
        load = self._loads_by_id.get(upstream.id)
        if load is None:
            load = UpstreamLoad(limit=self._initial_limit(upstream))
            self._loads_by_id[upstream.id] = load
        latest = (upstream.incarnation, upstream.sequence)
        if latest > (load.incarnation, load.sequence):
            _apply_report(load, upstream)
        return load


def _apply_report(load: UpstreamLoad, upstream: Announcement) -> None:
    load.sequence = upstream.sequence
    load.incarnation = upstream.incarnation
    load.others_in_flight = max(0, upstream.running + upstream.queued - load.in_flight)
    if upstream.queued > 0 and load.in_flight * 2 >= load.limit:
        load.limit = max(MIN_LIMIT, load.limit * LIMIT_DECREASE_FACTOR)
    elif upstream.queued == 0 and load.in_flight + 1 >= load.limit:
        largest = upstream.capacity or MAX_LIMIT
        load.limit = min(float(largest), load.limit + LIMIT_INCREASE)
