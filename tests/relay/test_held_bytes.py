"""Tests of the limit on buffered bytes of incomplete responses."""

from unittest import TestCase

from poplarlug.relay.held_bytes import HeldBytesBudget


class HeldBytesTests(TestCase):
    def setUp(self) -> None:
        self.budget = HeldBytesBudget(max_body_bytes=100, max_total_bytes=250)

    def test_one_response_has_its_limit(self) -> None:
        """The bytes up to the limit stay reserved."""
        with self.budget.reserve() as reservation:
            self.assertTrue(reservation.resize(100))
            self.assertFalse(reservation.resize(101))

    def test_all_responses_together_have_a_limit(self) -> None:
        """Bytes released by one response are available to the next."""
        with self.budget.reserve() as first, self.budget.reserve() as second:
            self.assertTrue(first.resize(100))
            self.assertTrue(second.resize(100))
            with self.budget.reserve() as third:
                self.assertTrue(third.resize(50))
                self.assertFalse(third.resize(51))
            self.assertTrue(first.resize(10))
            with self.budget.reserve() as fourth:
                self.assertTrue(fourth.resize(100))
        with self.budget.reserve() as reservation:
            self.assertTrue(reservation.resize(100))
