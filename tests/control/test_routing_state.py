"""Tests of the replicated route table and evacuations."""

from unittest import TestCase

from poplarlug.catalog import ChangeStatus
from poplarlug.control.commands import encode_command
from poplarlug.control.replicated_log import LogEntry
from poplarlug.control.routing_state import (
    EvacuationChange,
    RouteTableChange,
    encode_table,
)
from poplarlug.control.state import ControlState
from tests.routes.test_checks import make_route, make_table


class RoutingStateTests(TestCase):
    def setUp(self) -> None:
        self.state = ControlState()
        self.index = 0

    def apply(self, command: RouteTableChange | EvacuationChange) -> ChangeStatus:
        self.index += 1
        entry = LogEntry(1, self.index, encode_command(command))
        return self.state.apply(entry).status

    def put(self, version: int, source: bytes, **fields: object) -> ChangeStatus:
        table = make_table(make_route(**fields), version=version)
        return self.apply(RouteTableChange(encode_table(table), source))

    def test_highest_version_is_in_force_whatever_the_order(self) -> None:
        """Older and equal versions are accepted without effect."""
        for version, source in ((3, b"three"), (9, b"nine"), (5, b"five"), (9, b"x")):
            self.assertIs(self.put(version, source), ChangeStatus.ACCEPTED)
        self.assertEqual(self.state.routing.version, 9)
        self.assertEqual(self.state.routing.image.source, b"nine")
        self.assertEqual(self.state.routing.revision.value, 2)

    def test_table_with_problems_never_comes_into_force(self) -> None:
        """A replica rejects an invalid table that the operators' API let through."""
        self.put(1, b"one")
        status = self.put(2, b"two", timeout_seconds=0.0)
        self.assertIs(status, ChangeStatus.INVALID)
        damaged = RouteTableChange(b"damaged", b"three")
        self.assertIs(self.apply(damaged), ChangeStatus.INVALID)
        self.assertEqual(self.state.routing.image.source, b"one")

    def test_evacuations_are_idempotent(self) -> None:
        """A resend is accepted and does not increase the revision."""
        for evacuated in (True, True, False, False):
            self.apply(EvacuationChange("quito-a", evacuated))
        self.assertEqual(self.state.routing.image.evacuated_zones, ())
        self.assertEqual(self.state.routing.revision.value, 2)

    def test_order_of_a_former_release_is_applied(self) -> None:
        """A log may hold orders that don't name the order before them."""
        self.apply(EvacuationChange("quito-a", True, 0))
        status = self.apply(EvacuationChange("quito-a", False))
        self.assertIs(status, ChangeStatus.ACCEPTED)
        self.assertEqual(self.state.routing.image.evacuated_zones, ())

    def test_snapshot_keeps_everything(self) -> None:
        """A restored snapshot contains the table, document and evacuated zones."""
        self.put(4, b"four")
        self.apply(EvacuationChange("quito-a", True))
        restored = ControlState()
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.routing.image, self.state.routing.image)
        self.assertEqual(restored.routing.last_order("quito-a"), 2)
        self.assertEqual(restored.routing.version, 4)
        self.assertEqual(restored.routing.revision.value, 2)
