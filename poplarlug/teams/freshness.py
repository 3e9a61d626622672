"""Decides whether an entry may still take the keys that it knows."""

from collections.abc import Callable

from prometheus_client import Gauge

from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.types import Seconds

DRIFT_SHARE = 0.04
"""Share of the bound that is kept for clocks of different speed and for what lies
between a check and its request."""

STALE_RETRY_SECONDS = 0.3
"""Retry time of a refused caller, who then goes to another entry; the next poll here
is answered within it."""

MAX_LOGGED_SECONDS = 1e6
"""Stands in a log line for the age of what was never proved."""

_AGE = Gauge(
    "poplarlug_teams_proof_age_seconds",
    "Age of the confirmed configuration that this entry knows.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="teams")


class KeyFreshness:
    """
    Tell how old the proof is that an entry knows all keys that were taken away.

    Load pattern: an entry, its zone or the leader is cut off or frozen while operators
    take keys away from callers that go on sending. What is known dates from when a
    replica asked the leader, so only times of questions count, never those of answers.

    Parameters
    ----------
    bound_seconds : float or None
        How soon a key that was taken away must be refused; ``None`` for no bound.
    uptime : callable
        Returns seconds of uptime, including time while the VM was suspended.
    """

    def __init__(
        self, *, bound_seconds: Seconds | None, uptime: Callable[[], Seconds]
    ) -> None:
        self._bound = bound_seconds
        self._uptime = uptime
        self._known_at: Latest[Seconds] = Latest(initial=float("-inf"))
        self._was_fresh = True
        _AGE.set_function(lambda: self.age_seconds)

    def now(self) -> Seconds:
        """Return the uptime, to be noted before a question is sent."""
        return self._uptime()

    def note_reply(self, asked_at: Seconds, age_seconds: Seconds | None) -> None:
        """
        Record that a replica's reading was applied.

        Parameters
        ----------
        asked_at : float
            Uptime before the replica was asked.
        age_seconds : float or None
            Age of its reading when the question arrived, negative if it was confirmed
            later; ``None`` if it has none.
        """
        if age_seconds is None:
            return
        known_at = asked_at - age_seconds
        if self._known_at.value < known_at <= self._uptime():
            self._known_at.set(known_at)

    @property
    def age_seconds(self) -> Seconds:
        """How long ago all that this entry knows was the newest for certain."""
        return self._uptime() - self._known_at.value

    @property
    def lacks_proof(self) -> bool:
        """Whether keys are bound, and nothing has been proved since the start."""
        return self._bound is not None and self._known_at.value == float("-inf")

    async def wait_for_proof(self) -> None:
        """Return once something has been proved, at once if keys aren't bound."""
        if self.lacks_proof:
            await self._known_at.wait_for(lambda known_at: known_at > float("-inf"))

    def is_older_than(self, seconds: Seconds) -> bool:
        """
        Return whether the proof is older than ``seconds``.

        Without a bound there may be none, as former releases of replicas give none.
        """
        if self._bound is None and self._known_at.value == float("-inf"):
            return False
        return self.age_seconds > seconds

    def allows_keys(self) -> bool:
        """Return whether a caller's key may be looked up now."""
        if self._bound is None:
            return True
        age = self.age_seconds
        is_fresh = age <= self._bound * (1 - DRIFT_SHARE)
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            _log.warning(
                "takes keys again" if is_fresh else "takes no keys without a proof",
                age_seconds=round(min(age, MAX_LOGGED_SECONDS), 2),
                bound_seconds=self._bound,
            )
        return is_fresh
