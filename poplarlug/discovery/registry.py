"""A control replica's registry of entries and upstreams."""

from collections.abc import Callable, Iterable
from itertools import takewhile
from typing import NamedTuple, TypeAlias

from poplarlug.discovery.crash_marks import CrashMark
from poplarlug.discovery.record_checks import is_valid
from poplarlug.discovery.records import EntryRecord, ServiceUpstream, UpstreamPhase
from poplarlug.discovery.software_versions import StreamStarts
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.types import Address, Seconds, UpstreamId, VmName

ENTRY_TTL_SECONDS = 3.0
"""An entry is lost after this time without a poll; it polls a few times a second."""

MAX_MISSED_ANNOUNCEMENTS = 5
"""Consecutive announcements that may be missed before an upstream counts as lost."""

TOMBSTONE_TTL_SECONDS = 120.0
"""How long the record of an absent entry or upstream is kept, so that late messages
don't restore it."""

RECALLED_TTL_SECONDS = 3.0
"""How long a recalled record is kept without hearing from its VM or upstream; more than
two announcement intervals."""

ANY_RUN = 0
"""``born`` of a departure that names no run; it ends the run that is known."""

Record: TypeAlias = EntryRecord | ServiceUpstream

_log = ComponentLogger(prefix="discovery")


class Records(NamedTuple):
    """Records of entries and upstreams, and what is sent with them."""

    entries: tuple[EntryRecord, ...] = ()
    upstreams: tuple[ServiceUpstream, ...] = ()
    marks: tuple[CrashMark, ...] = ()
    streams: tuple[StreamStarts, ...] = ()

    @property
    def all(self) -> list[Record]:
        return [*self.entries, *self.upstreams]


class _StoredRecord(NamedTuple):
    record: Record
    heard_at: Seconds
    stored_at: Seconds
    revision: int
    is_recalled: bool
    tag: int


class Registry:
    """
    Records of entries and upstreams by key, with the time each was last heard from.

    Records come directly from their VMs and upstreams or are relayed by other control
    replicas. A record not heard from within its time to live is marked as lost, and
    kept for ``TOMBSTONE_TTL_SECONDS`` so that an older message can't restore it. Recalled
    records, which come from an earlier run of a replica, are not reported as present
    until they are confirmed.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    announcement_seconds : float
        Interval between two announcements of an upstream.
    """

    def __init__(
        self, *, clock: Callable[[], Seconds], announcement_seconds: Seconds
    ) -> None:
        self._clock = clock
        self._upstream_ttl_seconds = MAX_MISSED_ANNOUNCEMENTS * announcement_seconds
        # In the order of revisions.
        self._stored_by_key: dict[str, _StoredRecord] = {}
        self._keys_by_tag: dict[int, str] = {}
        self._upstream_ids_by_address: dict[Address, UpstreamId] = {}
        self._directly_heard_at_by_key: dict[str, Seconds] = {}
        self._changed_keys: set[str] = set()
        self.revision: Latest[int] = Latest(initial=0)

    def apply_report(self, record: Record) -> bool:
        """Apply a record from its VM or upstream itself; return whether it changed."""
        is_changed = self._apply(record)
        if record.key in self._stored_by_key:
            self._directly_heard_at_by_key[record.key] = self._clock()
        if not is_changed:
            return False
        self._changed_keys.add(record.key)
        _log.info("heard news", record=record.key, **_state_fields(record))
        return True

    def apply_relayed(self, records: Records) -> None:
        """Apply records relayed by another control replica."""
        for record in records.all:
            self._apply(record)

    def recall(self, records: Records) -> None:
        """
        Apply records from an earlier run of this or another replica.

        They are not reported as present until :meth:`confirm` or until their VM or
        upstream is heard from, and expire soon if it isn't.
        """
        for record in records.all:
            self._apply(record, is_recalled=True)
            stored = self._stored_by_key.get(record.key)
            if stored is not None and stored.is_recalled:
                remaining = min(RECALLED_TTL_SECONDS, self._ttl_seconds(record))
                heard_at = self._clock() - (self._ttl_seconds(record) - remaining)
                self._stored_by_key[record.key] = stored._replace(heard_at=heard_at)

    def confirm(self) -> int:
        """Report the recalled records as present from now on; return how many."""
        recalled = [
            stored for stored in self._stored_by_key.values() if stored.is_recalled
        ]
        for stored in recalled:
            self._store(stored.record, heard_at=stored.heard_at)
        return len(recalled)

    def touch(self, tags: Iterable[int]) -> tuple[int, ...]:
        """Refresh records that another replica heard from; return the unknown tags."""
        unknown = []
        now = self._clock()
        for tag in tags:
            key = self._keys_by_tag.get(tag)
            if key is None:
                unknown.append(tag)
                continue
            stored = self._stored_by_key[key]
            if stored.is_recalled:
                self._store(stored.record, heard_at=now)
            else:
                self._stored_by_key[key] = stored._replace(heard_at=now)
        return tuple(unknown)

    def directly_heard_tags(self, seconds: Seconds) -> tuple[int, ...]:
        """Return the tags of the records heard from directly within ``seconds``."""
        oldest = self._clock() - seconds
        return tuple(
            self._stored_by_key[key].tag
            for key, at in self._directly_heard_at_by_key.items()
            if at >= oldest and not self._stored_by_key[key].record.is_absent
        )

    @property
    def settle_seconds(self) -> Seconds:
        """How long after its start a registry may lack present records."""
        return self._upstream_ttl_seconds

    def take_changes(self) -> Records:
        """Return the records changed by :meth:`apply_report` since the last call."""
        keys, self._changed_keys = self._changed_keys, set()
        return self._collect(key for key in keys if key in self._stored_by_key)

    def by_tag(self, tags: Iterable[int]) -> Records:
        """Return the records that currently have these tags."""
        keys = (self._keys_by_tag.get(tag) for tag in tags)
        return self._collect(key for key in keys if key is not None)

    def changed_after(self, revision: int) -> Records:
        """Return the records that changed after ``revision``, the latest ones last."""
        changed = takewhile(
            lambda item: item[1].revision > revision,
            reversed(self._stored_by_key.items()),
        )
        keys = [key for key, stored in changed if not stored.is_recalled]
        return self._collect(reversed(keys))

    def present(self) -> Records:
        """Return the records that are neither absent nor recalled."""
        return self._collect(
            key
            for key, stored in self._stored_by_key.items()
            if not stored.record.is_absent and not stored.is_recalled
        )

    def recalled(self) -> Records:
        """Return the recalled records that are not confirmed."""
        return self._collect(
            key for key, stored in self._stored_by_key.items() if stored.is_recalled
        )

    def persistent(self) -> Records:
        """Return what a restart needs: present records and departed upstreams."""
        return self._collect(
            key
            for key, stored in self._stored_by_key.items()
            if not stored.record.is_absent or _has_left(stored.record)
        )

    def entry(self, name: VmName) -> EntryRecord | None:
        stored = self._stored_by_key.get(f"e:{name}")
        return (
            stored.record if stored and isinstance(stored.record, EntryRecord) else None
        )

    def upstream(self, upstream_id: UpstreamId) -> ServiceUpstream | None:
        stored = self._stored_by_key.get(f"u:{upstream_id}")
        if stored is None or not isinstance(stored.record, ServiceUpstream):
            return None
        return stored.record

    def expire(self) -> None:
        """Mark records not heard from as lost, and remove expired tombstones."""
        now = self._clock()
        for key, stored in list(self._stored_by_key.items()):
            silent = now - stored.heard_at
            if stored.record.is_absent:
                if silent > TOMBSTONE_TTL_SECONDS:
                    del self._stored_by_key[key]
                    self._directly_heard_at_by_key.pop(key, None)
                    self._keys_by_tag.pop(stored.tag, None)
            elif silent > self._ttl_seconds(stored.record):
                _log.warning(
                    "gave no sign", record=key, silent_seconds=round(silent, 1)
                )
                self._store(_mark_lost(stored.record), heard_at=stored.heard_at)

    def _ttl_seconds(self, record: Record) -> Seconds:
        if isinstance(record, EntryRecord):
            return ENTRY_TTL_SECONDS
        return self._upstream_ttl_seconds

    def _apply(self, record: Record, *, is_recalled: bool = False) -> bool:
        if not is_valid(record):
            return False
        stored = self._stored_by_key.get(record.key)
        former = None if stored is None else stored.record
        merged = self._merge(former, record)
        if merged is None:
            if stored is None or is_recalled or not stored.is_recalled:
                return False
            if stored.tag != record.tag:
                return False
            merged = stored.record
        if stored is None:
            self._store(merged, heard_at=self._clock(), is_recalled=is_recalled)
            return True
        is_recalled = is_recalled and stored.is_recalled
        if is_recalled == stored.is_recalled and _is_same(stored.record, merged):
            now = self._clock()
            self._stored_by_key[record.key] = stored._replace(
                record=merged, heard_at=now, stored_at=now
            )
            return False
        self._store(merged, heard_at=self._clock(), is_recalled=is_recalled)
        return True

    def _merge(self, former: Record | None, record: Record) -> Record | None:
        """Return ``former`` updated by ``record``, or ``None`` if it is outdated."""
        if isinstance(record, EntryRecord):
            assert former is None or isinstance(former, EntryRecord)
            return _merge_entry(former, record)
        assert former is None or isinstance(former, ServiceUpstream)
        merged = _merge_upstream(former, record)
        return merged if merged is not None and self._claim_address(merged) else None

    def _claim_address(self, record: ServiceUpstream) -> bool:
        """
        Assign the record's address to it, and mark an earlier run there as gone.

        Return ``False`` if a later run has the address.
        """
        if record.is_absent:
            return True
        other_id = self._upstream_ids_by_address.get(record.address, record.id)
        other = self.upstream(other_id)
        if other is not None and other.id != record.id and not other.is_absent:
            if other.born > record.born:
                return False
            self._store(other._replace(phase="gone"), heard_at=self._clock())
            self._changed_keys.add(other.key)
        self._upstream_ids_by_address[record.address] = record.id
        return True

    def _store(
        self, record: Record, *, heard_at: Seconds, is_recalled: bool = False
    ) -> None:
        former = self._stored_by_key.pop(record.key, None)
        if former is not None:
            self._keys_by_tag.pop(former.tag, None)
        revision = self.revision.value + 1
        tag = record.tag
        self._stored_by_key[record.key] = _StoredRecord(
            record, heard_at, self._clock(), revision, is_recalled, tag
        )
        self._keys_by_tag[tag] = record.key
        self.revision.set(revision)

    def _collect(self, keys: Iterable[str]) -> Records:
        entries = []
        upstreams = []
        now = self._clock()
        for key in keys:
            stored = self._stored_by_key[key]
            if isinstance(stored.record, EntryRecord):
                entries.append(stored.record)
            else:
                upstreams.append(
                    _with_elapsed_time(stored.record, now - stored.stored_at)
                )
        return Records(tuple(entries), tuple(upstreams))


def _merge_entry(former: EntryRecord | None, record: EntryRecord) -> EntryRecord | None:
    """Return ``former`` updated by ``record``, or ``None`` if it is outdated."""
    if former is None or record.incarnation > former.incarnation:
        return record
    if record.incarnation < former.incarnation:
        return None
    if former.state == "serving" and record.state == "starting":
        return None
    if former.state == "leaving" and not record.is_absent:
        return record._replace(state="leaving")
    return record


def _merge_upstream(
    former: ServiceUpstream | None, record: ServiceUpstream
) -> ServiceUpstream | None:
    """Return ``former`` updated by ``record``, or ``None`` if it is outdated."""
    if former is None:
        return record
    if record.phase == "gone" and record.born in (ANY_RUN, former.born):
        return former._replace(phase="gone")
    if record.born != former.born:
        return record if record.born > former.born else None
    if former.phase == "gone" or record.sequence <= former.sequence:
        return None
    if former.phase == "leaving" and record.phase == "serving":
        # A leaving upstream doesn't come back in the same run.
        return record._replace(phase="leaving")
    return record


def _has_left(record: Record) -> bool:
    return isinstance(record, ServiceUpstream) and record.phase == "gone"


def _is_same(former: Record, record: Record) -> bool:
    if isinstance(former, ServiceUpstream) and isinstance(record, ServiceUpstream):
        return record.is_equivalent_to(former)
    return former == record


def _mark_lost(record: Record) -> Record:
    if isinstance(record, EntryRecord):
        return record._replace(state="lost")
    # A leaving upstream must not serve again when it is heard from after expiry.
    phase: UpstreamPhase = "gone" if record.phase == "leaving" else "lost"
    return record._replace(phase=phase)


def _with_elapsed_time(record: ServiceUpstream, elapsed: Seconds) -> ServiceUpstream:
    ends_in = record.ends_in_seconds
    if ends_in is None and record.cold_seconds <= 0:
        return record
    return record._replace(
        cold_seconds=max(0.0, record.cold_seconds - elapsed),
        ends_in_seconds=None if ends_in is None else max(0.0, ends_in - elapsed),
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
        "version": record.version,
        "cold_seconds": round(record.cold_seconds, 2),
    }
