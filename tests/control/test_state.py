"""Tests of the replicated state: outcomes, resends, snapshots, arbitrary bytes."""

from unittest import TestCase

import msgspec
from hypothesis import given, settings, strategies as st

from poplarlug.catalog import Change, ChangeOutcome, ChangeStatus, Model
from poplarlug.catalog.catalog import encode_object
from poplarlug.control.commands import Command, encode_command
from poplarlug.control.orders import (
    OrderOutcome,
    OrderRequest,
    OrderResult,
    OrderStatus,
)
from poplarlug.control.replicated_log import LogEntry
from poplarlug.control.state import ControlState


def change(change_id: str, version: int, max_tokens: int = 1) -> Change:
    value = encode_object(Model("corn", max_tokens=max_tokens))
    return Change(change_id, "model", "corn", version, value)


def order(order_id: str, model: str = "corn") -> OrderRequest:
    return OrderRequest(order_id, "quito-a", "e1", "load", model)


class ControlStateTests(TestCase):
    def setUp(self) -> None:
        self.state = ControlState()
        self.log_index = 0

    def apply(self, command: Command, term: int = 1) -> ChangeOutcome | OrderOutcome:
        self.log_index += 1
        entry = LogEntry(term, self.log_index, encode_command(command))
        return self.state.apply(entry)

    def test_resend_gets_the_first_outcome(self) -> None:
        """A resent change is applied once, even after a snapshot is restored."""
        first = self.apply(change("a", 0))
        self.assertEqual(first, ChangeOutcome(ChangeStatus.ACCEPTED, 1))
        self.apply(change("b", 1, 2))
        self.assertEqual(self.apply(change("a", 0)), first)
        restored = ControlState()
        restored.restore(self.state.snapshot())
        again = restored.apply(LogEntry(1, 9, encode_command(change("a", 0))))
        self.assertEqual(again, first)
        self.assertEqual(restored.catalog.version, 2)
        self.assertEqual(restored.snapshot(), self.state.snapshot())

    def test_resend_of_a_conflict_stays_a_conflict(self) -> None:
        """A conflict is final for its change id, even if the change would now apply."""
        self.apply(change("a", 0))
        conflict = self.apply(change("b", 0, 2))
        self.assertEqual(
            (conflict.status, conflict.version), (ChangeStatus.CONFLICT, 1)
        )
        self.apply(Change("c", "model", "corn", 1, None))
        self.assertEqual(self.apply(change("b", 0, 2)), conflict)

    def test_other_content_under_a_used_id_is_refused(self) -> None:
        """Another change under the same change id is refused with a message."""
        self.apply(change("a", 0))
        outcome = self.apply(change("a", 1, 2))
        self.assertIs(outcome.status, ChangeStatus.INVALID)
        self.assertIn("used before", outcome.message)
        self.assertEqual(self.state.catalog.version, 1)

    def test_order_numbers_grow_and_finished_orders_stay(self) -> None:
        """A resend gets a higher number while unfinished, then its recorded outcome."""
        first = self.apply(order("o"))
        second = self.apply(order("o"), term=2)
        assert isinstance(first, OrderOutcome) and isinstance(second, OrderOutcome)
        self.assertGreater(second.fencing, first.fencing)
        self.apply(OrderResult("o", OrderStatus.DONE, "loaded"))
        done = OrderOutcome(OrderStatus.DONE, second.fencing, "loaded")
        self.assertEqual(self.apply(order("o"), term=3), done)
        self.assertEqual(self.apply(order("o", "other")).status, OrderStatus.REFUSED)
        restored = ControlState()
        restored.restore(self.state.snapshot())
        entry = LogEntry(4, 99, encode_command(order("o")))
        self.assertEqual(restored.apply(entry), done)

    @settings(max_examples=300, deadline=None, database=None)
    @given(
        st.one_of(
            st.binary(max_size=80),
            st.builds(
                lambda kind, body: msgspec.msgpack.encode((kind, body)),
                st.sampled_from(["change", "order", "order_result", "other"]),
                st.one_of(
                    st.binary(max_size=60),
                    st.recursive(
                        st.one_of(
                            st.none(),
                            st.integers(-(2**63), 2**64 - 1),
                            st.floats(),
                            st.text(max_size=4),
                            st.sampled_from(["account", "rank", "load", "done"]),
                            st.binary(max_size=20),
                        ),
                        lambda inner: st.lists(inner, max_size=6),
                        max_leaves=8,
                    ).map(msgspec.msgpack.encode),
                ),
            ),
            st.builds(
                lambda kind, name, version, fields: msgspec.msgpack.encode(
                    (
                        "change",
                        msgspec.msgpack.encode(
                            ("id", kind, name, version, msgspec.msgpack.encode(fields))
                        ),
                    )
                ),
                st.sampled_from(["account", "rank", "region", "placement", "model"]),
                st.text(max_size=3),
                st.integers(-1, 1),
                st.lists(
                    st.one_of(
                        st.text(max_size=3),
                        st.integers(-(2**63), 2**64 - 1),
                        st.floats(),
                        st.lists(st.text(max_size=3), max_size=2),
                    ),
                    max_size=8,
                ),
            ),
        )
    )
    def test_no_bytes_make_it_raise(self, command: bytes) -> None:
        """Any committed bytes get an outcome, the same on all replicas."""
        first, second = ControlState(), ControlState()
        entry = LogEntry(1, 1, command)
        self.assertEqual(repr(first.apply(entry)), repr(second.apply(entry)))
        self.assertEqual(first.catalog.state_hash(), second.catalog.state_hash())
