"""Tests of a holder's claim table."""

from unittest import TestCase

from poplarlug.claims.records import (
    ClaimAttempt,
    ClaimKey,
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    ClaimUpdate,
    Vote,
)
from poplarlug.claims.table import ClaimTable

KEY = ClaimKey("quito-a", "verde", "key")
FIRST = ClaimAttempt("quito-a-1", "run", 1)
SECOND = ClaimAttempt("quito-a-2", "run", 1)


class ClaimTableTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.table = ClaimTable(
            clock=lambda: self.now, life_seconds=10, max_claims_per_account=3
        )

    def claim(self, attempt: ClaimAttempt, key: ClaimKey = KEY) -> Vote:
        return self.table.claim(ClaimRequest(key, attempt, "print")).vote

    def end(self, attempt: ClaimAttempt, state: ClaimState) -> None:
        self.table.update(ClaimUpdate(KEY, attempt, "print", state))

    def test_vote_is_given_once(self) -> None:
        """A duplicate claim is granted again, another attempt's is not."""
        votes = [self.claim(a) for a in (FIRST, FIRST, SECOND)]
        self.assertEqual(votes, [Vote.GRANTED, Vote.GRANTED, Vote.HELD])

    def test_only_the_owner_releases(self) -> None:
        """A release by another attempt doesn't change the vote."""
        self.claim(FIRST)
        self.end(SECOND, ClaimState.RELEASED)
        self.assertIs(self.claim(ClaimAttempt("c", "run", 1)), Vote.HELD)

    def test_release_may_overtake_its_claim(self) -> None:
        """A claim that arrives after its own release is refused, others are granted."""
        self.end(FIRST, ClaimState.RELEASED)
        self.assertIs(self.claim(FIRST), Vote.STALE)
        self.assertIs(self.claim(SECOND), Vote.GRANTED)
        self.assertIs(self.claim(FIRST), Vote.STALE)

    def test_end_replaces_a_minority_vote_and_stays(self) -> None:
        """An attempt's outcome replaces the vote for another one and is kept."""
        self.claim(SECOND)
        self.end(FIRST, ClaimState.DONE)
        self.end(SECOND, ClaimState.RELEASED)
        self.end(SECOND, ClaimState.UNKNOWN)
        held = self.table.get(KEY)
        assert held is not None
        self.assertEqual((held.attempt, held.state), (FIRST, ClaimState.DONE))

    def test_full_table_refuses_and_evicts_nothing(self) -> None:
        """A full table refuses new keys until a claim expires; none is evicted."""
        keys = [KEY._replace(key=str(number)) for number in range(4)]
        votes = [self.claim(FIRST, key) for key in keys]
        self.assertEqual(votes, [Vote.GRANTED] * 3 + [Vote.FULL])
        self.assertEqual([self.claim(SECOND, k) for k in keys[:3]], [Vote.HELD] * 3)
        self.now = 11.0
        self.assertIs(self.claim(FIRST, keys[3]), Vote.GRANTED)

    def test_copies_that_disagree_leave_the_key_unknown(self) -> None:
        """Copies of different attempts make the key's outcome unknown."""
        for attempt in (FIRST, SECOND):
            self.table.restore(ClaimRecord(KEY, attempt, "print"), 5.0)
        held = self.table.get(KEY)
        assert held is not None
        self.assertIs(held.state, ClaimState.UNKNOWN)
