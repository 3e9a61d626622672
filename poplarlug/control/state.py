"""The replicated state: catalog, outcomes of changes and recent deltas."""

from collections import OrderedDict, deque
from typing import NamedTuple

import msgspec
from returns.result import Failure

from poplarlug.catalog import (
    Catalog,
    Change,
    ChangeOutcome,
    ChangeStatus,
    Delta,
    Snapshot,
)
from poplarlug.control.replicated_log import LogEntry, StateMachine
from poplarlug.types import ConfigVersion

MAX_OUTCOMES = 20_000
MAX_RECENT_DELTAS = 20_000


class DeltasAfter(NamedTuple):
    """Ask for all deltas with versions above ``version``."""

    version: ConfigVersion


class Deltas(NamedTuple):
    """
    Deltas in their order, or a snapshot when they are no longer held.

    Parameters
    ----------
    version : int
        The sender's version once these are applied.
    """

    version: ConfigVersion
    deltas: tuple[Delta, ...] = ()
    snapshot: Snapshot | None = None


class _Image(NamedTuple):
    catalog: Snapshot
    outcomes: tuple[tuple[str, ChangeOutcome], ...]


class ControlState(StateMachine):
    """Apply changes once each and remember what became of them."""

    def __init__(self) -> None:
        self.catalog = Catalog()
        self._outcomes_by_change_id: OrderedDict[str, ChangeOutcome] = OrderedDict()
        self._recent_deltas: deque[Delta] = deque(maxlen=MAX_RECENT_DELTAS)

    def apply(self, entry: LogEntry) -> ChangeOutcome:
        change = msgspec.msgpack.decode(entry.command, type=Change)
        first = self._outcomes_by_change_id.get(change.change_id)
        if first is not None:
            return first
        outcome = self._apply_once(change)
        self._outcomes_by_change_id[change.change_id] = outcome
        while len(self._outcomes_by_change_id) > MAX_OUTCOMES:
            self._outcomes_by_change_id.popitem(last=False)
        return outcome

    def deltas_after(self, version: ConfigVersion) -> Deltas:
        """Return what a holder of ``version`` lacks."""
        oldest = self._recent_deltas[0].version if self._recent_deltas else None
        if version >= self.catalog.version:
            return Deltas(self.catalog.version)
        if oldest is None or version + 1 < oldest:
            return Deltas(self.catalog.version, snapshot=self.catalog.snapshot())
        missing = tuple(d for d in self._recent_deltas if d.version > version)
        return Deltas(self.catalog.version, missing)

    def snapshot(self) -> bytes:
        image = _Image(
            self.catalog.snapshot(), tuple(self._outcomes_by_change_id.items())
        )
        return msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        image = msgspec.msgpack.decode(data, type=_Image)
        self.catalog.restore(image.catalog)
        self._outcomes_by_change_id = OrderedDict(image.outcomes)
        self._recent_deltas.clear()

    def _apply_once(self, change: Change) -> ChangeOutcome:
        checked = self.catalog.check(change)
        if isinstance(checked, Failure):
            return checked.failure()
        version = self.catalog.version + 1
        delta = Delta(version, change.kind, change.name, change.value)
        self.catalog.apply(delta)
        self._recent_deltas.append(delta)
        return ChangeOutcome(ChangeStatus.ACCEPTED, version)
