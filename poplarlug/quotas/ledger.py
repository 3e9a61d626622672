"""How much credit of a team's quota its giver may hand out, and to whom."""

from collections.abc import Collection
from typing import NamedTuple

from poplarlug.quotas.messages import LotReport
from poplarlug.teams import Quota
from poplarlug.types import Seconds, VmName

AMPLE_LIFE_SECONDS = 3.0
"""Life of credit while much of the quota is left: longer than the election of a leader,
in which there is no new credit."""

TIGHT_LIFE_SECONDS = 1.0
"""Life of credit while little is left: what one holder doesn't use is soon another's."""

TIGHT_SHARE = 0.5
"""Credit counts as tight once more than this share of the quota is given."""

HOLDER_SHARE = 0.45
"""Largest share of the quota that one holder has: what a successor of the giver must
leave unused for a holder that it can't reach. A zone that takes half of the work of a
team at its rate needs this much, as a window's quota includes the burst."""

ASKED_SECONDS = 1.0
"""How long a holder's wish counts among those that share what is left."""

MIN_RETRY_SECONDS = 0.2


class QuotaBounds(NamedTuple):
    """
    How closely quotas are kept.

    Parameters
    ----------
    window_seconds : float
        Length of the sliding window in which a quota holds.
    overage, slack : float
        What a window may hold beyond the quota: a fraction of it, plus an amount.
    """

    window_seconds: Seconds = 8.0
    overage: float = 0.0
    slack: float = 0.0

    @property
    def blind_seconds(self) -> Seconds:
        """Time after which nothing counts any more that a former giver gave."""
        return self.window_seconds + AMPLE_LIFE_SECONDS

    def amount(self, quota: Quota) -> float:
        """Return what is given for a window; the slack makes up for idle credit."""
        return self._quota(quota) + self.slack

    def reserve(self, quota: Quota) -> float:
        """Return what a window may hold beyond that, kept for a new giver."""
        return self._quota(quota) * self.overage

    def _quota(self, quota: Quota) -> float:
        return quota.per_second * self.window_seconds + quota.burst


class Lot(NamedTuple):
    """
    Credit that was given; a number of 0 stands for none.

    Parameters
    ----------
    is_limited : bool
        Whether only the holder's largest share stands in the way of another request;
        other holders may get credit.
    """

    number: int = 0
    amount: float = 0.0
    life_seconds: Seconds = 0.0
    is_tight: bool = False
    retry_seconds: Seconds = 0.0
    is_limited: bool = False


class _Wish(NamedTuple):
    at: Seconds
    wanted: float


class _Piece(NamedTuple):
    """An amount that was spent at a time, or before."""

    at: Seconds
    amount: float


class _GivenLot:
    def __init__(
        self, *, holder: VmName, question: int, amount: float, ends_at: Seconds
    ) -> None:
        self.holder = holder
        self.question = question
        self.amount = amount
        self.ends_at = ends_at
        self.spent = 0.0
        self.is_closed = False
        self.pieces: list[_Piece] = []

    def counted(self, since: Seconds) -> float:
        """Return what was spent after ``since`` or may still be."""
        spent = sum(piece.amount for piece in self.pieces if piece.at > since)
        return spent if self.is_closed else spent + self.amount - self.spent

    def note_spent(self, spent: float, at: Seconds) -> None:
        """Take in the sum spent so far; less than before if a charge was undone."""
        change = min(spent, self.amount) - self.spent
        self.spent += change
        if change > 0:
            self.pieces.append(_Piece(at, change))
        while change < 0 and self.pieces:
            last = self.pieces.pop()
            change += last.amount
            if change > 0:
                self.pieces.append(_Piece(last.at, change))


class CreditLedger:
    """
    Credit of one team's quota, from one giver to its holders.

    Load pattern: many entries each see a small part of a team's requests, and its peak
    moves from region to region within seconds. What was spent in the last window, what
    holders may still spend and new credit together stay within the quota of a window.
    A lot that isn't reported counts as spent when it ends.

    A new giver doesn't know what its predecessor gave. Until it has complete reports
    of all holders, or a window and the longest life of credit have passed, it leaves
    unused what the silent holders may have; beside that it gives at most the reserve,
    the part of a window's bound that is not given out otherwise. A giver whose
    predecessor may have used the reserve in the same window leaves it alone.

    Parameters
    ----------
    holders : collection of VmName
        Those that may have credit of a predecessor.
    started_at : float
        When the giver began, by the clock of ``now`` in all methods.
    """

    def __init__(
        self,
        *,
        bounds: QuotaBounds,
        holders: Collection[VmName],
        started_at: Seconds,
    ) -> None:
        self._bounds = bounds
        self._silent = set(holders)
        self._holder_share = max(HOLDER_SHARE, 1 / max(1, len(holders)))
        self._blind_until = started_at + bounds.blind_seconds
        self._given_blindly = 0.0
        self._last_number = 0
        self._lots_by_id: dict[tuple[str, int], _GivenLot] = {}
        self._wishes_by_holder: dict[VmName, _Wish] = {}

    def note_former(self, holder: VmName) -> None:
        """Count one more among those that may have credit of a predecessor."""
        self._silent.add(holder)

    def note_complete(self, holder: VmName) -> None:
        """Record that all that a holder has and had in the window was reported."""
        self._silent.discard(holder)

    def note_lost(self, holder: VmName, *, after: int, before: int) -> None:
        """Close lots given in answers, by question number, that didn't arrive."""
        for lot in self._lots_by_id.values():
            if lot.holder == holder and after < lot.question < before:
                lot.is_closed = True

    def report(self, holder: VmName, reported: LotReport, now: Seconds) -> None:
        """Take in what a holder has spent of a lot, also of one of a predecessor."""
        key = reported.giver, reported.number
        lot = self._lots_by_id.get(key)
        spent_at = now
        if lot is None:
            ends_at = now + max(0.0, reported.ends_in)
            lot = _GivenLot(
                holder=holder, question=0, amount=reported.amount, ends_at=ends_at
            )
            self._lots_by_id[key] = lot
            spent_at = now - reported.spent_age
        lot.note_spent(reported.spent, spent_at)
        lot.is_closed = reported.ends_in <= 0

    def give(
        self,
        holder: VmName,
        *,
        giver: str,
        question: int,
        quota: Quota,
        wanted: float,
        request_size: float,
        now: Seconds,
        has_reserve: bool = True,
    ) -> Lot:
        """
        Return new credit for a holder, as much of ``wanted`` as there may be.

        Parameters
        ----------
        giver, question
            Identify the lot in later reports.
        request_size : float
            Less than this is of no use to the holder.
        has_reserve : bool
            Whether no other giver may have used the reserve.
        """
        self._forget(now)
        self._wishes_by_holder[holder] = _Wish(now, wanted)
        amount = self._bounds.amount(quota)
        since = now - self._bounds.window_seconds
        counted = sum(lot.counted(since) for lot in self._lots_by_id.values())
        held = sum(
            lot.counted(since)
            for lot in self._lots_by_id.values()
            if lot.holder == holder
        )
        is_blind = now < self._blind_until and bool(self._silent)
        # What the silent holders may have of a former giver's credit.
        silent = len(self._silent) * self._holder_share * amount if is_blind else 0.0
        own_room = self._holder_share * amount - held
        room = min(own_room, amount - counted - silent)
        reserved = 0.0
        if is_blind and has_reserve:
            reserved = min(own_room, self._bounds.reserve(quota) - self._given_blindly)
        free = max(room, reserved)
        is_limited = own_room < request_size <= amount - counted - silent
        given = self._share(wanted, free, request_size, now)
        is_tight = free < wanted or counted + given > TIGHT_SHARE * amount
        life = TIGHT_LIFE_SECONDS if is_tight else AMPLE_LIFE_SECONDS
        retry = 0.0
        if given < wanted and free - given >= request_size:
            # The share of other holders; the next question may get it.
            retry = MIN_RETRY_SECONDS
        elif given < wanted:
            lacking = max(request_size, wanted) - free
            retry = self._retry_seconds(quota, lacking, now)
        if given <= 0:
            return Lot(is_tight=is_tight, retry_seconds=retry, is_limited=is_limited)
        if given > room:
            self._given_blindly += given
        self._last_number += 1
        self._lots_by_id[giver, self._last_number] = _GivenLot(
            holder=holder, question=question, amount=given, ends_at=now + life
        )
        return Lot(self._last_number, given, life, is_tight, retry, is_limited)

    def _share(
        self, wanted: float, free: float, request_size: float, now: Seconds
    ) -> float:
        """Divide what is left by what holders want, but not below a request."""
        if wanted <= 0 or free <= 0:
            return 0.0
        all_wanted = sum(
            wish.wanted
            for wish in self._wishes_by_holder.values()
            if now - wish.at <= ASKED_SECONDS
        )
        share = wanted * min(1.0, free / all_wanted)
        return share if share >= request_size else min(wanted, request_size, free)

    def _retry_seconds(self, quota: Quota, lacking: float, now: Seconds) -> Seconds:
        """Return when ``lacking`` more of the quota becomes free."""
        window = self._bounds.window_seconds
        frees = sorted(
            piece
            for lot in self._lots_by_id.values()
            for piece in (*lot.pieces, _Piece(lot.ends_at, lot.amount - lot.spent))
            if piece.amount > 0 and piece.at > now - window
        )
        for piece in frees:
            lacking -= piece.amount
            if lacking <= 0:
                return max(MIN_RETRY_SECONDS, piece.at + window - now)
        if quota.per_second <= 0:
            return window
        return max(MIN_RETRY_SECONDS, min(window, lacking / quota.per_second))

    def _forget(self, now: Seconds) -> None:
        since = now - self._bounds.window_seconds
        gone = [key for key, lot in self._lots_by_id.items() if lot.ends_at <= since]
        for key in gone:
            del self._lots_by_id[key]
