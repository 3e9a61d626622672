"""A control replica's view of the entries and upstreams that are there."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeAlias

from poplarlug.discovery.crash_marks import CrashMark
from poplarlug.discovery.records import EntryRecord, ServiceUpstream, UpstreamPhase
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.types import Address, Seconds, UpstreamId, VmName

ENTRY_LIFE_SECONDS = 3.0
"""An entry polls a few times a second; longer silence means that it is lost."""

UPSTREAM_BEATS = 5
"""Announcements that may be missing in a row before an upstream counts as lost."""

FORGET_SECONDS = 120.0
"""How long a record that is over stops late messages from bringing it back."""

RECALL_SECONDS = 3.0
"""How long a record of a former run stays without a sign; two beats and more."""

ANY_RUN = 0
"""``born`` of a farewell that names no run; it ends the run that is known."""

Record: TypeAlias = EntryRecord | ServiceUpstream

_log = ComponentLogger(prefix="discovery")


class Records(NamedTuple):
    """Entries and upstreams together, and the crash marks that go with them."""

    entries: tuple[EntryRecord, ...] = ()
    upstreams: tuple[ServiceUpstream, ...] = ()
    marks: tuple[CrashMark, ...] = ()

    @property
    def all(self) -> list[Record]:
        return [*self.entries, *self.upstreams]


class _Held(NamedTuple):
    record: Record
    heard: Seconds
    noted: Seconds
    revision: int
    is_recalled: bool


class Registry:
    """
    Records of entries and upstreams by key, each with the time of its last sign.

    Records come from their VMs and upstreams themselves or from other control
    replicas. One that gave no sign for its life is marked lost; it stays for
    ``FORGET_SECONDS`` so that an older message can't bring it back. Those of a
    former run are told to nobody as present before they are confirmed.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    beat_seconds : float
        Time between two announcements of an upstream.
    """

    def __init__(self, *, clock: Callable[[], Seconds], beat_seconds: Seconds) -> None:
        self._clock = clock
        self._upstream_life = UPSTREAM_BEATS * beat_seconds
        self._held_by_key: dict[str, _Held] = {}
        self._keys_by_tag: dict[int, str] = {}
        self._upstream_ids_by_address: dict[Address, UpstreamId] = {}
        self._heard_by_key: dict[str, Seconds] = {}
        self._changed_keys: set[str] = set()
        self.revision: Latest[int] = Latest(initial=0)

    def hear(self, record: Record) -> bool:
        """Take in what a VM or an upstream said itself; return whether it was news."""
        is_news = self._take(record)
        if record.key in self._held_by_key:
            self._heard_by_key[record.key] = self._clock()
        if not is_news:
            return False
        self._changed_keys.add(record.key)
        _log.info("heard news", record=record.key, **_state_fields(record))
        return True

    def take(self, records: Records) -> None:
        """Take in records from another control replica."""
        for record in records.all:
            self._take(record)

    def recall(self, records: Records) -> None:
        """
        Take in records of a former run, this replica's or another one's.

        They are held back until :meth:`confirm` or a sign of their own, and over
        soon without a sign.
        """
        for record in records.all:
            self._take(record, is_recalled=True)
            held = self._held_by_key[record.key]
            if held.is_recalled:
                left = min(RECALL_SECONDS, self._life(record))
                heard = self._clock() - (self._life(record) - left)
                self._held_by_key[record.key] = held._replace(heard=heard)

    def confirm(self) -> int:
        """Tell the records of a former run from now on; return how many."""
        recalled = [held for held in self._held_by_key.values() if held.is_recalled]
        for held in recalled:
            self._put(held.record, heard=held.heard)
        return len(recalled)

    def touch(self, tags: Iterable[int]) -> tuple[int, ...]:
        """Note that others heard records lately; return the tags not held."""
        unknown = []
        now = self._clock()
        for tag in tags:
            key = self._keys_by_tag.get(tag)
            if key is None:
                unknown.append(tag)
                continue
            held = self._held_by_key[key]
            if held.is_recalled:
                self._put(held.record, heard=now)
            else:
                self._held_by_key[key] = held._replace(heard=now)
        return tuple(unknown)

    def heard_within(self, seconds: Seconds) -> tuple[int, ...]:
        """Return tags of what said something itself within that time."""
        oldest = self._clock() - seconds
        return tuple(
            self._held_by_key[key].record.tag
            for key, at in self._heard_by_key.items()
            if at >= oldest and not self._held_by_key[key].record.is_over
        )

    @property
    def settle_seconds(self) -> Seconds:
        """How long after its start a registry may lack what is there."""
        return self._upstream_life

    def take_changes(self) -> Records:
        """Return what changed by :meth:`hear` since the last call."""
        keys, self._changed_keys = self._changed_keys, set()
        return self._split(key for key in keys if key in self._held_by_key)

    def by_tag(self, tags: Iterable[int]) -> Records:
        """Return the records that have these tags now."""
        keys = (self._keys_by_tag.get(tag) for tag in tags)
        return self._split(key for key in keys if key is not None)

    def changed_after(self, revision: int) -> Records:
        """Return the records that changed after ``revision``."""
        return self._split(
            key
            for key, held in self._held_by_key.items()
            if held.revision > revision and not held.is_recalled
        )

    def present(self) -> Records:
        """Return the records that are not over."""
        return self._split(
            key
            for key, held in self._held_by_key.items()
            if not held.record.is_over and not held.is_recalled
        )

    def recalled(self) -> Records:
        """Return the records of a former run that are not confirmed."""
        return self._split(
            key for key, held in self._held_by_key.items() if held.is_recalled
        )

    def lasting(self) -> Records:
        """Return what a restart should know: what is there, and upstreams that left."""
        return self._split(
            key
            for key, held in self._held_by_key.items()
            if not held.record.is_over or _has_left(held.record)
        )

    def entry(self, name: VmName) -> EntryRecord | None:
        held = self._held_by_key.get(f"e:{name}")
        return held.record if held and isinstance(held.record, EntryRecord) else None

    def upstream(self, upstream_id: UpstreamId) -> ServiceUpstream | None:
        held = self._held_by_key.get(f"u:{upstream_id}")
        if held is None or not isinstance(held.record, ServiceUpstream):
            return None
        return held.record

    def expire(self) -> None:
        """Mark what gave no sign for its life and forget what is long over."""
        now = self._clock()
        for key, held in list(self._held_by_key.items()):
            silent = now - held.heard
            if held.record.is_over:
                if silent > FORGET_SECONDS:
                    del self._held_by_key[key]
                    self._heard_by_key.pop(key, None)
                    self._keys_by_tag.pop(held.record.tag, None)
            elif silent > self._life(held.record):
                _log.warning(
                    "gave no sign", record=key, silent_seconds=round(silent, 1)
                )
                self._put(_lost(held.record), heard=held.heard)

    def _life(self, record: Record) -> Seconds:
        if isinstance(record, EntryRecord):
            return ENTRY_LIFE_SECONDS
        return self._upstream_life

    def _take(self, record: Record, *, is_recalled: bool = False) -> bool:
        held = self._held_by_key.get(record.key)
        former = None if held is None else held.record
        news = self._merge(former, record)
        if news is None:
            if held is None or is_recalled or not held.is_recalled:
                return False
            if held.record.tag != record.tag:
                return False
            news = held.record
        if held is None:
            self._put(news, heard=self._clock(), is_recalled=is_recalled)
            return True
        is_recalled = is_recalled and held.is_recalled
        if is_recalled == held.is_recalled and _is_same(held.record, news):
            now = self._clock()
            self._held_by_key[record.key] = held._replace(
                record=news, heard=now, noted=now
            )
            return False
        self._put(news, heard=self._clock(), is_recalled=is_recalled)
        return True

    def _merge(self, former: Record | None, record: Record) -> Record | None:
        """Return what is known after ``record``; ``None`` when it is out of date."""
        if isinstance(record, EntryRecord):
            assert former is None or isinstance(former, EntryRecord)
            return _merge_entry(former, record)
        assert former is None or isinstance(former, ServiceUpstream)
        news = _merge_upstream(former, record)
        return news if news is not None and self._owns_address(news) else None

    def _owns_address(self, record: ServiceUpstream) -> bool:
        """Return whether no later run has the address; end an earlier one there."""
        if record.is_over:
            return True
        other_id = self._upstream_ids_by_address.get(record.address, record.id)
        other = self.upstream(other_id)
        if other is not None and other.id != record.id and not other.is_over:
            if other.born > record.born:
                return False
            self._put(other._replace(phase="gone"), heard=self._clock())
            self._changed_keys.add(other.key)
        self._upstream_ids_by_address[record.address] = record.id
        return True

    def _put(
        self, record: Record, *, heard: Seconds, is_recalled: bool = False
    ) -> None:
        former = self._held_by_key.get(record.key)
        if former is not None:
            self._keys_by_tag.pop(former.record.tag, None)
        revision = self.revision.value + 1
        self._held_by_key[record.key] = _Held(
            record, heard, self._clock(), revision, is_recalled
        )
        self._keys_by_tag[record.tag] = record.key
        self.revision.set(revision)

    def _split(self, keys: Iterable[str]) -> Records:
        entries = []
        upstreams = []
        now = self._clock()
        for key in keys:
            held = self._held_by_key[key]
            if isinstance(held.record, EntryRecord):
                entries.append(held.record)
            else:
                upstreams.append(_aged(held.record, now - held.noted))
        return Records(tuple(entries), tuple(upstreams))


def _merge_entry(former: EntryRecord | None, record: EntryRecord) -> EntryRecord | None:
    """Return what is known after ``record``; ``None`` when it is out of date."""
    if former is None or record.incarnation > former.incarnation:
        return record
    if record.incarnation < former.incarnation:
        return None
    if former.state == "leaving" and not record.is_over:
        return record._replace(state="leaving")
    return record


def _merge_upstream(
    former: ServiceUpstream | None, record: ServiceUpstream
) -> ServiceUpstream | None:
    """Return what is known after ``record``; ``None`` when it is out of date."""
    if former is None:
        return record
    if record.phase == "gone" and record.born in (ANY_RUN, former.born):
        return former._replace(phase="gone")
    if record.born != former.born:
        return record if record.born > former.born else None
    if former.phase == "gone" or record.sequence <= former.sequence:
        return None
    if former.phase == "leaving" and record.phase == "serving":
        # An upstream that leaves doesn't come back in the same run.
        return record._replace(phase="leaving")
    return record


def _has_left(record: Record) -> bool:
    return isinstance(record, ServiceUpstream) and record.phase == "gone"


def _is_same(former: Record, record: Record) -> bool:
    if isinstance(former, ServiceUpstream) and isinstance(record, ServiceUpstream):
        return record.says_the_same(former)
    return former == record


def _lost(record: Record) -> Record:
    if isinstance(record, EntryRecord):
        return record._replace(state="lost")
    # One that was leaving must not serve again after its silence.
    phase: UpstreamPhase = "gone" if record.phase == "leaving" else "lost"
    return record._replace(phase=phase)


def _aged(record: ServiceUpstream, age: Seconds) -> ServiceUpstream:
    ends_in = record.ends_in_seconds
    return record._replace(
        cold_seconds=max(0.0, record.cold_seconds - age),
        ends_in_seconds=None if ends_in is None else max(0.0, ends_in - age),
    )


def _state_fields(record: Record) -> dict[str, object]:
    if isinstance(record, EntryRecord):
        return {"state": record.state, "incarnation": record.incarnation}
    return {
        "service": record.service,
        "phase": record.phase,
        "address": record.address,
        "born": record.born,
        "sequence": record.sequence,
        "cold_seconds": round(record.cold_seconds, 2),
    }
