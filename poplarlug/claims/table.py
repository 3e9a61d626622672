"""Claim table of a holder."""

from collections import Counter
from collections.abc import Callable, Iterator

from poplarlug.claims.records import (
    ClaimAttempt,
    ClaimKey,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    ClaimUpdate,
    Vote,
)
from poplarlug.types import AccountName, Seconds

CLAIM_LIFETIME_SECONDS = 3600.0
MAX_CLAIMS = 100_000
MAX_CLAIMS_PER_ACCOUNT = 20_000
MAX_ANSWER_BYTES_HELD = 64 * 1024 * 1024
MAX_RELEASED_ATTEMPTS = 8

_FINAL_STATES = (ClaimState.DONE, ClaimState.UNKNOWN)


class ClaimTable:
    """
    Grant each key to one attempt at a time, with bounded size and no eviction.

    A record is kept for its whole lifetime. When the table is full, new keys are
    refused rather than live claims evicted.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    life_seconds : float
        How long a record is kept after its last change.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], Seconds],
        life_seconds: Seconds = CLAIM_LIFETIME_SECONDS,
        max_claims: int = MAX_CLAIMS,
        max_claims_per_account: int = MAX_CLAIMS_PER_ACCOUNT,
    ) -> None:
        self.life_seconds = life_seconds
        self._clock = clock
        self._max_claims = max_claims
        self._max_claims_per_account = max_claims_per_account
        # Ordered by expiry: each change moves a record to the end.
        self._records_by_key: dict[ClaimKey, ClaimRecord] = {}
        self._expiry_by_key: dict[ClaimKey, Seconds] = {}
        self._counts_by_account: Counter[AccountName] = Counter()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_key)

    def get(self, key: ClaimKey) -> ClaimRecord | None:
        return self._records_by_key.get(key)

    def has_claims(self) -> bool:
        """Return whether any record is in a state other than released."""
        records = self._records_by_key.values()
        return any(record.state is not ClaimState.RELEASED for record in records)

    def records(self) -> Iterator[tuple[ClaimRecord, Seconds]]:
        """Yield each record with its remaining lifetime in seconds."""
        now = self._clock()
        for key, record in list(self._records_by_key.items()):
            yield record, max(0.0, self._expiry_by_key[key] - now)

    def claim(self, request: ClaimRequest) -> ClaimReply:
        """Vote for ``request`` unless another attempt already has the vote."""
        self.expire()
        existing = self._records_by_key.get(request.key)
        if existing is None:
            if self._is_full(request.key.account):
                return ClaimReply(Vote.FULL)
            self._put(ClaimRecord(request.key, request.attempt, request.fingerprint))
            return ClaimReply(Vote.GRANTED)
        if request.attempt in existing.released:
            return ClaimReply(Vote.STALE)
        if existing.state is ClaimState.RELEASED:
            self._put(
                ClaimRecord(
                    request.key,
                    request.attempt,
                    request.fingerprint,
                    released=existing.released,
                )
            )
            return ClaimReply(Vote.GRANTED)
        if existing.attempt == request.attempt and existing.state is ClaimState.CLAIMED:
            return ClaimReply(Vote.GRANTED)
        return ClaimReply(Vote.HELD, existing)

    def update(self, update: ClaimUpdate) -> bool:
        """Record an outcome; return whether it may have changed a record."""
        self.expire()
        existing = self._records_by_key.get(update.key)
        if update.state is ClaimState.RELEASED:
            return self._release(update, existing)
        if existing is not None and existing.state in _FINAL_STATES:
            return False
        # Only an attempt with a majority reports these states, and no other can have
        # had one, so its outcome replaces whatever this holder voted for.
        self._put(self._without_excess_answer(_record_of_update(update)))
        return True

    def restore(self, record: ClaimRecord, life_seconds: Seconds) -> None:
        """Merge a record from a peer or the journal with its remaining lifetime."""
        existing = self._records_by_key.get(record.key)
        if existing is not None:
            if record.attempt in existing.released or _precedence(
                existing
            ) > _precedence(record):
                return
            record = _merge(existing, record)
        self._put(
            self._without_excess_answer(record), min(life_seconds, self.life_seconds)
        )

    def sort_by_expiry(self) -> None:
        """Sort the records by expiry after :meth:`restore` has put them out of order."""
        ordered = sorted(self._expiry_by_key.items(), key=lambda item: item[1])
        self._expiry_by_key = dict(ordered)
        self._records_by_key = {k: self._records_by_key[k] for k, _ in ordered}

    def expire(self) -> None:
        """Drop expired records."""
        now = self._clock()
        while self._expiry_by_key:
            key = next(iter(self._expiry_by_key))
            if self._expiry_by_key[key] > now:
                return
            self._drop(key)

    def _release(self, update: ClaimUpdate, existing: ClaimRecord | None) -> bool:
        if existing is None:
            # The claim may still be in transit; refuse it when it arrives.
            if self._is_full(update.key.account):
                return False
            released: tuple[ClaimAttempt, ...] = (update.attempt,)
            self._put(_record_of_update(update)._replace(released=released))
            return True
        released = (*existing.released, update.attempt)[-MAX_RELEASED_ATTEMPTS:]
        if existing.attempt != update.attempt:
            if update.attempt not in existing.released:
                self._put(existing._replace(released=released))
            return True
        if existing.state is ClaimState.CLAIMED:
            state = ClaimState.RELEASED
            self._put(existing._replace(state=state, released=released))
        return True

    def _without_excess_answer(self, record: ClaimRecord) -> ClaimRecord:
        size = len(record.answer.body) if record.answer else 0
        if self._answer_bytes + size > MAX_ANSWER_BYTES_HELD:
            return record._replace(answer=None)
        return record

    def _is_full(self, account: AccountName) -> bool:
        return (
            len(self._records_by_key) >= self._max_claims
            or self._counts_by_account[account] >= self._max_claims_per_account
        )

    def _put(self, record: ClaimRecord, life_seconds: Seconds | None = None) -> None:
        self._drop(record.key)
        lifetime = self.life_seconds if life_seconds is None else life_seconds
        self._records_by_key[record.key] = record
        self._expiry_by_key[record.key] = self._clock() + lifetime
        self._counts_by_account[record.key.account] += 1
        self._answer_bytes += len(record.answer.body) if record.answer else 0

    def _drop(self, key: ClaimKey) -> None:
        existing = self._records_by_key.pop(key, None)
        if existing is None:
            return
        del self._expiry_by_key[key]
        self._counts_by_account[key.account] -= 1
        if self._counts_by_account[key.account] == 0:
            del self._counts_by_account[key.account]
        self._answer_bytes -= len(existing.answer.body) if existing.answer else 0


def _record_of_update(update: ClaimUpdate) -> ClaimRecord:
    return ClaimRecord(
        update.key, update.attempt, update.fingerprint, update.state, update.answer
    )


def _precedence(record: ClaimRecord) -> int:
    if record.state in _FINAL_STATES:
        return 2
    return 1 if record.state is ClaimState.CLAIMED else 0


def _merge(existing: ClaimRecord, record: ClaimRecord) -> ClaimRecord:
    released = (*existing.released, *record.released)[-MAX_RELEASED_ATTEMPTS:]
    conflict = (
        existing.attempt != record.attempt
        and _precedence(existing) == _precedence(record) == 1
    )
    if conflict:
        # Either attempt may have got this holder's lost vote, so the outcome is
        # unknown.
        record = record._replace(state=ClaimState.UNKNOWN)
    return record._replace(released=released)
