"""Tests of a control replica's registry of entries and upstreams."""

import math
from unittest import TestCase

from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.discovery.registry import (
    ANY_RUN,
    ENTRY_TTL_SECONDS,
    MAX_MISSED_ANNOUNCEMENTS,
    Records,
    Registry,
)

ANNOUNCEMENT_SECONDS = 1.2
BORN = 1_700_000_000_000


def make_entry(**fields: object) -> EntryRecord:
    entry = EntryRecord(
        name="quito-a-1",
        region="sierra",
        zone="quito-a",
        http="10.0.0.1:80",
        forwards="10.0.0.1:81",
        incarnation=5,
        state="serving",
    )
    return entry._replace(**fields)


def make_upstream(**fields: object) -> ServiceUpstream:
    upstream = ServiceUpstream(
        id="e-1",
        service="engine",
        address="10.0.1.1:80",
        zone="quito-a",
        born=BORN,
        sequence=1,
        slots=8,
    )
    return upstream._replace(**fields)


class RegistryTests(TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.registry = self.make()

    def make(self) -> Registry:
        return Registry(
            clock=lambda: self.now, announcement_seconds=ANNOUNCEMENT_SECONDS
        )

    def phase(self) -> str:
        upstream = self.registry.upstream("e-1")
        assert upstream is not None
        return upstream.phase

    # Guards against lists that other processes can't read or that name no upstream.
    def test_odd_records_of_other_processes_are_ignored(self) -> None:
        """The sound records of the same message hold."""
        sound = make_upstream(id="sound", address="10.0.1.9:80")
        odd = [
            make_upstream(id=f"odd-{number}", **fields)
            for number, fields in enumerate(
                (
                    {"address": "10.0.1.1:99999"},
                    {"address": "nowhere"},
                    {"zone": "\x00"},
                    {"version": "v" * 257},
                    {"service": ""},
                    {"born": 2**64 - 1},
                    {"sequence": -1},
                    {"slots": 0},
                    {"slots": 2**63 - 1},
                    {"cold_seconds": math.inf},
                    {"ends_in_seconds": math.nan},
                )
            )
        ]
        entry = make_entry(name="sound")
        odd_entry = make_entry(name="odd", forwards="10.0.0.1:0")
        records = Records((odd_entry, entry), (*odd, sound))
        self.registry.apply_relayed(records)
        self.assertEqual(self.registry.present().all, [entry, sound])
        self.registry = self.make()
        self.registry.recall(records)
        self.assertEqual(self.registry.recalled().all, [entry, sound])

    def test_announcement_that_says_the_same_is_no_news(self) -> None:
        """Only changes that others need create a new revision."""
        self.assertTrue(self.registry.apply_report(make_upstream()))
        revision = self.registry.revision.value
        self.assertFalse(self.registry.apply_report(make_upstream(sequence=2)))
        self.assertEqual(self.registry.revision.value, revision)

    def test_late_announcement_changes_nothing(self) -> None:
        """An announcement that arrives after a later one is ignored."""
        self.registry.apply_report(make_upstream(sequence=5, phase="leaving"))
        self.registry.apply_report(make_upstream(sequence=4))
        self.assertEqual(self.phase(), "leaving")

    def test_leaving_upstream_never_serves_again(self) -> None:
        """Neither a later announcement nor expiry restores a leaving upstream."""
        self.registry.apply_report(make_upstream(sequence=2, phase="leaving"))
        self.registry.apply_report(make_upstream(sequence=3))
        self.assertEqual(self.phase(), "leaving")
        self.now += MAX_MISSED_ANNOUNCEMENTS * ANNOUNCEMENT_SECONDS + 0.1
        self.registry.expire()
        self.registry.apply_report(make_upstream(sequence=4))
        self.assertEqual(self.phase(), "gone")

    def test_departure_ends_the_run_that_is_known(self) -> None:
        """A departure without a run isn't undone by a delayed announcement."""
        self.registry.apply_report(make_upstream())
        self.registry.apply_report(
            make_upstream(born=ANY_RUN, phase="gone", service="")
        )
        self.registry.apply_report(make_upstream(sequence=9))
        self.assertEqual(self.phase(), "gone")

    def test_new_run_under_the_same_id_serves(self) -> None:
        """A restarted upstream numbers its announcements from the start."""
        self.registry.apply_report(make_upstream(sequence=50, phase="gone"))
        self.registry.apply_report(make_upstream(born=BORN + 1, sequence=1))
        self.assertEqual(self.phase(), "serving")

    def test_silent_upstream_is_lost_until_it_speaks(self) -> None:
        """An upstream that was cut off is restored by its next announcement."""
        self.registry.apply_report(make_upstream())
        self.now += MAX_MISSED_ANNOUNCEMENTS * ANNOUNCEMENT_SECONDS + 0.1
        self.registry.expire()
        self.assertEqual(self.phase(), "lost")
        self.assertEqual(self.registry.present(), Records())
        self.registry.apply_report(make_upstream(sequence=2))
        self.assertEqual(self.phase(), "serving")

    def test_address_belongs_to_the_latest_run(self) -> None:
        """A delayed announcement of an earlier run at the address is ignored."""
        self.registry.apply_report(make_upstream())
        self.registry.apply_report(
            make_upstream(id="e-2", born=BORN + 10, service="desk")
        )
        self.assertEqual(self.phase(), "gone")
        late = make_upstream(id="e-0", born=BORN - 10)
        self.assertFalse(self.registry.apply_report(late))
        self.assertIsNone(self.registry.upstream("e-0"))

    def test_silent_entry_is_lost(self) -> None:
        """An entry that stopped polling is marked as lost."""
        self.registry.apply_report(make_entry())
        self.now += ENTRY_TTL_SECONDS + 0.1
        self.registry.expire()
        entry = self.registry.entry("quito-a-1")
        assert entry is not None
        self.assertEqual(entry.state, "lost")

    # Guards against regions that have no entry for a moment, since a replica that
    # started relays what an entry said before it was ready.
    def test_older_state_of_a_run_does_not_hide_a_serving_entry(self) -> None:
        """Within a run, an entry starts, serves and leaves, in this order."""
        starting = make_entry(state="starting")
        self.registry.apply_report(starting)
        self.registry.apply_report(make_entry())
        self.registry.apply_relayed(Records(entries=(starting,)))
        self.registry.recall(Records(entries=(starting,)))
        entry = self.registry.entry("quito-a-1")
        assert entry is not None
        self.assertEqual(entry.state, "serving")
        self.registry.apply_relayed(
            Records(entries=(starting._replace(incarnation=6),))
        )
        entry = self.registry.entry("quito-a-1")
        assert entry is not None
        self.assertEqual(entry.state, "starting")

    def test_leaving_entry_serves_again_in_its_next_run(self) -> None:
        """An old message can't undo a stop, but a restart does."""
        self.registry.apply_report(make_entry(state="leaving"))
        self.registry.apply_report(make_entry())
        entry = self.registry.entry("quito-a-1")
        assert entry is not None
        self.assertEqual(entry.state, "leaving")
        self.registry.apply_report(make_entry(incarnation=6))
        entry = self.registry.entry("quito-a-1")
        assert entry is not None
        self.assertEqual(entry.state, "serving")

    def test_signs_that_others_heard_keep_a_record(self) -> None:
        """Tags from another replica refresh records; unknown tags are returned."""
        other = self.make()
        other.apply_report(make_upstream())
        other.apply_report(make_upstream(id="e-2", address="10.0.1.2:80"))
        self.registry.apply_report(make_upstream())
        self.now += MAX_MISSED_ANNOUNCEMENTS * ANNOUNCEMENT_SECONDS - 0.1
        other.apply_report(make_upstream(sequence=2))
        other.apply_report(make_upstream(id="e-2", address="10.0.1.2:80", sequence=2))
        unknown = self.registry.touch(other.directly_heard_tags(1.0))
        self.now += 0.2
        self.registry.expire()
        self.assertEqual(self.phase(), "serving")
        self.registry.apply_relayed(other.by_tag(unknown))
        self.assertIsNotNone(self.registry.upstream("e-2"))

    def test_missed_change_shows_in_the_tag(self) -> None:
        """A replica that missed a departure doesn't know the record's tag."""
        self.registry.apply_report(make_upstream())
        other = self.make()
        other.apply_report(make_upstream(sequence=2, phase="leaving"))
        unknown = self.registry.touch(other.directly_heard_tags(1.0))
        self.registry.apply_relayed(other.by_tag(unknown))
        self.assertEqual(self.phase(), "leaving")

    # Guards against a failed exchange of tables between replicas.
    def test_recalled_record_of_an_address_with_a_later_run_is_left_out(self) -> None:
        """The upstream restarted under another id while the record was on a disk."""
        later = make_upstream(id="e-2", born=BORN + 1)
        self.registry.apply_report(later)
        self.registry.recall(Records(upstreams=(make_upstream(),)))
        self.assertEqual(self.registry.recalled().upstreams, ())
        self.assertEqual(self.registry.present().upstreams, (later,))

    def test_recalled_record_is_reported_after_a_confirmation(self) -> None:
        """It is present once heard from or confirmed, and stays on the disk throughout."""
        same = make_upstream()
        tag = same.tag
        confirmations = {
            "announced": lambda registry: registry.apply_report(
                make_upstream(sequence=2)
            ),
            "relayed": lambda registry: registry.apply_relayed(
                Records(upstreams=(same,))
            ),
            "heard elsewhere": lambda registry: registry.touch([tag]),
            "confirmed": lambda registry: registry.confirm(),
        }
        for name, confirm_record in confirmations.items():
            with self.subTest(confirmation=name):
                registry = self.make()
                registry.recall(Records(upstreams=(same,)))
                self.assertEqual(registry.present().all, [])
                self.assertEqual(registry.changed_after(0).all, [])
                self.assertEqual(len(registry.persistent().upstreams), 1)
                revision = registry.revision.value
                confirm_record(registry)
                self.assertEqual(len(registry.present().upstreams), 1)
                self.assertEqual(len(registry.changed_after(revision).all), 1)

    def test_record_of_a_former_run_hides_nothing_heard_since(self) -> None:
        """A newer record takes precedence, whichever of the two is applied first."""
        recalled = Records(upstreams=(make_upstream(sequence=5),))
        self.registry.apply_report(make_upstream(sequence=6))
        self.registry.recall(recalled)
        self.assertEqual(len(self.registry.present().upstreams), 1)
        leaving = Records(upstreams=(make_upstream(sequence=7, phase="leaving"),))
        self.registry.recall(leaving)
        self.assertEqual(self.phase(), "leaving")
        self.assertEqual(len(self.registry.present().upstreams), 1)
