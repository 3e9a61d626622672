"""Raft hard state of a replica: its incarnation, term and vote."""

from random import Random
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.control.coalescing import CoalescedWrite
from poplarlug.control.disk import Disk
from poplarlug.control.records import decode_records, encode_record

HARD_STATE_FILE = "hard_state"
INCARNATION_BITS = 64


class _Content(NamedTuple):
    incarnation: str
    term: int
    voted_for: str | None


class HardState:
    """
    Incarnation, term and vote, changed in memory and then saved.

    The incarnation is a random identifier chosen once per disk. A replica whose disk
    was emptied restarts with a new one.

    Parameters
    ----------
    rng : random.Random
        Source of the incarnation.
    """

    def __init__(self, *, disk: Disk, rng: Random) -> None:
        self._disk = disk
        self.incarnation = _choose_incarnation(rng)
        self.term = 0
        self.voted_for: str | None = None
        self.is_new = True
        self._saved: _Content | None = None
        self._save = CoalescedWrite(write=self._write)

    def load(self) -> Result[None, str]:
        """Read the file, if there is one."""
        data = self._disk.read(HARD_STATE_FILE)
        if data is None:
            return Success(None)
        records = decode_records(data)
        if isinstance(records, Failure) or len(records.unwrap().payloads) != 1:
            return Failure(
                f"{HARD_STATE_FILE} is damaged; empty the whole data folder and let "
                "the other replicas re-add this one"
            )
        payload = records.unwrap().payloads[0]
        self._saved = msgspec.msgpack.decode(payload, type=_Content)
        self.incarnation, self.term, self.voted_for = self._saved
        self.is_new = False
        return Success(None)

    def renew_incarnation(self, rng: Random) -> None:
        """Choose a new incarnation, as after the loss of the disk."""
        self.incarnation = _choose_incarnation(rng)

    def raise_term(self, term: int) -> None:
        """Enter a later term, in which this replica has not voted yet."""
        assert term > self.term, f"new term {term} is not above term {self.term}"
        self.term = term
        self.voted_for = None

    async def save(self) -> None:
        """Return once the current state, or a later one, is synced."""
        if not self.is_saved:
            await self._save.run()

    @property
    def is_saved(self) -> bool:
        """Whether the current incarnation, term and vote are synced."""
        return self._saved == self._content()

    def _content(self) -> _Content:
        return _Content(self.incarnation, self.term, self.voted_for)

    async def _write(self) -> None:
        content = self._content()
        payload = msgspec.msgpack.encode(content)
        await self._disk.replace(HARD_STATE_FILE, encode_record(payload, 0))
        self._saved = content
        self.is_new = False


def _choose_incarnation(rng: Random) -> str:
    return f"{rng.getrandbits(INCARNATION_BITS):016x}"
