"""Divides a process's memory for what clients send among their connections."""

from collections.abc import Callable

from prometheus_client import Counter, Gauge

from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.types import Seconds

MEGABYTE = 1024 * 1024

DEFAULT_BYTES = 40 * MEGABYTE
"""Memory for clients' bytes where the size of the VM is unknown."""

SMALL_BYTES = 64 * 1024
"""Holdings up to this size may use the reserve."""

RESERVE_SHARE = 0.125
"""Share of the memory that is kept for small holdings."""

STALL_SECONDS = 1.0
"""In a full memory, what has made no progress for so long gives way."""

PROGRESS_BYTES = 1024
"""Fewer bytes than that are no progress."""

SLOW_ANSWER_BYTES = 128 * 1024
"""What is held at most of an answer whose caller reads slowly: the write buffer, a part
that waits for it, and what is read ahead."""

_HELD = Gauge(
    "poplarlug_relay_held_request_bytes",
    "Bytes of the requests in progress.",
    registry=REGISTRY,
)
_HELD_ANSWERS = Gauge(
    "poplarlug_callers_held_answer_bytes",
    "Room that is set aside for answers whose callers read slowly.",
    registry=REGISTRY,
)
_GAVE_WAY = Counter(
    "poplarlug_callers_gave_way_total",
    "Connections that were closed to make room, as their requests stood still.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="callers")


class ClientMemory:
    """
    Decide which connections may hold bytes of their clients, and which give way.

    Load pattern: crowds of clients whose requests are large and never end, or that read
    large answers slowly, beside ordinary callers. What is too much is refused; requests
    that are incomplete and stand still give way, the largest first. Small requests have
    a reserve. An answer that has begun is never cut, so while answers take all the room
    no further request should run.

    Parameters
    ----------
    total_bytes : int
        Limit for all connections together.
    """

    def __init__(self, *, total_bytes: int, clock: Callable[[], Seconds]) -> None:
        self.total_bytes = total_bytes
        self._clock = clock
        self._held = 0
        self._held_answers = 0
        self._incomplete: set[ClientHolding] = set()

    @property
    def held_bytes(self) -> int:
        return self._held

    @property
    def has_room_for_answers(self) -> bool:
        """Whether the caller of one more request may read its answer slowly."""
        return self._held_answers + SLOW_ANSWER_BYTES <= self._room_for_large

    @property
    def _room_for_large(self) -> int:
        return int(self.total_bytes * (1 - RESERVE_SHARE))

    def note_answers(self, count: int) -> None:
        """Set room aside for ``count`` more slow answers, or give it back."""
        self._held_answers += count * SLOW_ANSWER_BYTES
        _HELD_ANSWERS.set(self._held_answers)

    def open(self, give_way: Callable[[], None]) -> "ClientHolding":
        """
        Return the holding of a connection, of no bytes yet.

        Parameters
        ----------
        give_way : callable
            Closes the connection, and with it the holding. Nothing of its request ran.
        """
        return ClientHolding(memory=self, give_way=give_way, now=self._clock)

    def acquire(self, holding: "ClientHolding", count: int) -> bool:
        """Reserve ``count`` more bytes for a holding; return whether there is room."""
        room = self.total_bytes
        if holding.count + count > SMALL_BYTES:
            room = self._room_for_large - self._held_answers
        missing = self._held + count - room
        if count > 0 and missing > 0 and not self._make_room(missing, holding):
            return False
        self._held += count
        _HELD.set(self._held)
        return True

    def note_incomplete(self, holding: "ClientHolding", is_incomplete: bool) -> None:
        """Track whether more bytes of a holding's request are to come."""
        if is_incomplete:
            self._incomplete.add(holding)
        else:
            self._incomplete.discard(holding)

    def _make_room(self, missing: int, asking: "ClientHolding") -> bool:
        latest = self._clock() - STALL_SECONDS
        stalled = [
            holding
            for holding in self._incomplete
            if holding is not asking
            and holding.count
            and holding.progressed_at <= latest
        ]
        if sum(holding.count for holding in stalled) < missing:
            return False
        stalled.sort(key=lambda holding: holding.count, reverse=True)
        for holding in stalled:
            if missing <= 0:
                break
            missing -= holding.count
            _GAVE_WAY.inc()
            _log.info("a request that stood still gave way", held_bytes=holding.count)
            holding.give_way()
        return True


class ClientHolding:
    """
    Bytes that are held for one connection.

    Attributes
    ----------
    count : int
    progressed_at : float
        When the client last got on with its request.
    """

    def __init__(
        self,
        *,
        memory: ClientMemory,
        give_way: Callable[[], None],
        now: Callable[[], Seconds],
    ) -> None:
        self._memory = memory
        self._give_way = give_way
        self._now = now
        self._unmarked = 0
        self._has_slow_answer = False
        self.count = 0
        self.progressed_at = now()

    def note_received(self, count: int) -> None:
        """Note bytes of a request; so few that they are no progress add up."""
        self._unmarked += count
        if self._unmarked >= PROGRESS_BYTES:
            self.mark_progress()

    def mark_progress(self) -> None:
        self._unmarked = 0
        self.progressed_at = self._now()

    def set_incomplete(self, is_incomplete: bool) -> None:
        """Set whether more bytes of the request are to come, so that it may give way."""
        self._memory.note_incomplete(self, is_incomplete)

    def grow_to(self, count: int) -> bool:
        """Hold ``count`` bytes, or leave it unchanged; return whether there is room."""
        if count <= self.count:
            return True
        if not self._memory.acquire(self, count - self.count):
            return False
        self.count = count
        return True

    def shrink(self, count: int) -> None:
        """Give back ``count`` bytes, or all if it holds fewer."""
        count = min(count, self.count)
        self._memory.acquire(self, -count)
        self.count -= count

    def note_slow_answer(self) -> None:
        """Set room aside, as the client reads the answer to its request slowly."""
        if not self._has_slow_answer:
            self._has_slow_answer = True
            self._memory.note_answers(1)

    def hand_over(self) -> "ClientHolding":
        """Return another holding that has all bytes from now on; it never gives way."""
        taker = self._memory.open(lambda: None)
        taker.count, self.count = self.count, 0
        self.set_incomplete(False)
        return taker

    def release(self) -> None:
        """Give back all bytes, as nothing of the request is held any more."""
        self._memory.acquire(self, -self.count)
        self.count = 0
        self.set_incomplete(False)
        if self._has_slow_answer:
            self._has_slow_answer = False
            self._memory.note_answers(-1)

    def give_way(self) -> None:
        self.release()
        self._give_way()
