"""Tests of the upstream table."""

from unittest import TestCase

from poplarlug.membership.upstreams import (
    LEASE_SECONDS,
    MAX_TOMBSTONES,
    MAX_UPSTREAMS,
    Renewal,
    Tombstone,
    UpstreamTable,
)
from tests.membership.simulation import announcement


class UpstreamTableTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.table = UpstreamTable(clock=lambda: self.now)

    def serving(self) -> list[str]:
        return [a.id for a in self.table.serving.value]

    def test_older_serving_never_overrides_leaving(self) -> None:
        """A larger sequence does not restore an incarnation that has left."""
        self.table.apply(announcement(sequence=2))
        self.assertTrue(self.table.apply(announcement(sequence=1, state="leaving")))
        self.assertFalse(self.table.apply(announcement(sequence=3)))
        self.assertEqual(self.serving(), [])
        self.table.apply(announcement(incarnation=2))
        self.assertEqual(self.serving(), ["u1"])

    def test_leaving_of_an_older_incarnation_changes_nothing(self) -> None:
        """``leaving`` of a previous run does not remove a restarted upstream."""
        self.table.apply(announcement(incarnation=2))
        self.assertFalse(self.table.apply(announcement(state="leaving", sequence=9)))
        self.assertEqual(self.serving(), ["u1"])

    def test_expired_upstream_is_not_revived_by_a_delayed_record(self) -> None:
        """After expiry, only a larger sequence or incarnation restores an upstream."""
        self.table.apply(announcement(sequence=5))
        self.now = LEASE_SECONDS
        self.assertEqual(self.table.expire(), ("u1",))
        self.assertFalse(self.table.apply(announcement(sequence=5)))
        self.table.renew([Renewal("u1", 1, 4, 0, 0, 0)])
        self.assertEqual(self.serving(), [])
        self.assertTrue(self.table.apply(announcement(sequence=6)))

    def test_relayed_record_does_not_extend_the_lease(self) -> None:
        """The lease starts when the first entry received the record."""
        self.assertTrue(self.table.apply(announcement(), age=LEASE_SECONDS - 1))
        self.now = 1.0
        self.assertEqual(self.table.expire(), ("u1",))
        self.assertFalse(self.table.apply(announcement("u2"), age=LEASE_SECONDS))

    def test_other_entries_tombstones_count(self) -> None:
        """A fetched tombstone removes the upstream it covers, but no newer one."""
        self.table.apply(announcement("u1"))
        self.table.apply(announcement("u2", incarnation=2))
        self.table.apply_tombstones(
            [Tombstone("u1", 1, 1, True), Tombstone("u2", 1, 9, True)]
        )
        self.assertEqual(self.serving(), ["u2"])

    def test_table_and_tombstones_are_bounded(self) -> None:
        """Upstreams beyond the limit are rejected; the oldest tombstones are evicted."""
        for number in range(MAX_UPSTREAMS + 1):
            taken = self.table.apply(announcement(f"u{number}"))
        self.assertFalse(taken)
        for number in range(MAX_TOMBSTONES + 1):
            self.table.apply(announcement(f"v{number}", state="leaving"))
        self.assertEqual(len(self.table.tombstones()), MAX_TOMBSTONES)
