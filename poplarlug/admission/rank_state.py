"""Per-rank state of a pool."""

import math

from poplarlug.admission.fair_queue import FairQueue
from poplarlug.catalog import Rank
from poplarlug.types import Seconds

AVERAGE_SECONDS = 30.0
HEADROOM_DEVIATIONS = 2.5
MAX_CREDIT_SECONDS = 30.0
DRAIN_SAMPLE_SECONDS = 5.0
COST_RATIO_WEIGHT = 0.05
BASELINE_RISE_WEIGHT = 0.0005
MIN_BASELINE_SAMPLES = 50
SLOWED_FACTOR = 1.08


class RankState:
    """Slot use, queue and recent service times of one rank."""

    def __init__(self, *, rank: Rank, now: Seconds) -> None:
        self.rank = rank
        self.queue = FairQueue()
        self.in_use = 0
        self.average_in_use = 0.0
        self.updated_at = now
        self._created_at = now
        self.cost_ratio = 1.0
        self.mean_cost = 1.0
        # Cost ratio without contention: follows decreases fast, increases slowly.
        self.baseline_cost_ratio = 1.0
        self.sample_count = 0
        self.retry_promised_at = now
        self.floor_slots = 0.0
        # Slot-seconds of its floor that the rank hasn't used while it had a queue.
        self.credit_seconds = 0.0
        # Queued work started per second, in slots; None until it was measured.
        self.drain_rate: float | None = None
        self._backlog_seconds = 0.0
        self._backlog_work = 0.0

    def record_service_time(self, cost: Seconds, held_seconds: Seconds) -> None:
        """Record a request of cost ``cost`` that held its slot ``held_seconds``."""
        self.mean_cost += COST_RATIO_WEIGHT * (cost - self.mean_cost)
        if cost <= 0:
            return
        self.cost_ratio += COST_RATIO_WEIGHT * (held_seconds / cost - self.cost_ratio)
        self.sample_count += 1
        change = self.cost_ratio - self.baseline_cost_ratio
        if self.sample_count < MIN_BASELINE_SAMPLES:
            self.baseline_cost_ratio = self.cost_ratio
        elif change < 0:
            self.baseline_cost_ratio += COST_RATIO_WEIGHT * change
        else:
            self.baseline_cost_ratio += BASELINE_RISE_WEIGHT * change

    def is_slowed(self) -> bool:
        """Return whether requests take clearly longer than the baseline."""
        return self.cost_ratio > SLOWED_FACTOR * self.baseline_cost_ratio

    def record_queued_start(self, cost: Seconds) -> None:
        """Record the start of queued work, from which the drain rate is measured."""
        self._backlog_work += cost * self.cost_ratio
        if self._backlog_seconds < DRAIN_SAMPLE_SECONDS:
            return
        sample = self._backlog_work / self._backlog_seconds
        self.drain_rate = (
            sample if self.drain_rate is None else (self.drain_rate + sample) / 2
        )
        self._backlog_seconds = self._backlog_work = 0.0

    def reset_drain_rate(self) -> None:
        """Discard the drain rate of the previous queue."""
        self.drain_rate = None
        self._backlog_seconds = self._backlog_work = 0.0

    def record_use(self, change: int, now: Seconds) -> None:
        """Change the slots in use and update averages and credit up to ``now``."""
        elapsed = now - self.updated_at
        if len(self.queue):
            credit = self.credit_seconds + (self.floor_slots - self.in_use) * elapsed
            max_credit = MAX_CREDIT_SECONDS * max(1.0, self.floor_slots)
            self.credit_seconds = max(-max_credit, min(max_credit, credit))
            self._backlog_seconds += elapsed
        else:
            self.credit_seconds = 0.0
        decay = math.exp(-elapsed / AVERAGE_SECONDS)
        self.average_in_use = self.in_use + (self.average_in_use - self.in_use) * decay
        self.updated_at = now
        self.in_use += change

    def _mean_in_use(self) -> float:
        """Return the average corrected for its initial value of zero."""
        observed_share = 1.0 - math.exp(
            (self._created_at - self.updated_at) / AVERAGE_SECONDS
        )
        return self.average_in_use / observed_share if observed_share > 0 else 0.0

    def is_below_floor(self) -> bool:
        """Return whether the rank has recently used less than its floor."""
        return self.credit_seconds > 0 and self.in_use < max(1.0, self.floor_slots)

    def headroom(self, now: Seconds, entry_count: int = 1) -> float:
        """
        Return the slots that less urgent ranks must leave free for this one.

        Parameters
        ----------
        entry_count : int
            Number of entries to account for, each assumed to have the same use
            as this one.
        """
        self.record_use(0, now)
        mean = self._mean_in_use() * entry_count
        wanted = mean + HEADROOM_DEVIATIONS * math.sqrt(mean)
        return max(0.0, math.ceil(wanted) - self.in_use * entry_count)
