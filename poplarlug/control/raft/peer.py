"""Replication from a leader to one other replica."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.raft.members import Member
from poplarlug.control.raft.messages import (
    APPEND_TOPIC,
    INSTALL_TOPIC,
    AppendReply,
    AppendRequest,
    InstallReply,
    InstallRequest,
)
from poplarlug.control.raft.timing import APPEND_TIMEOUT_SECONDS, HEARTBEAT_SECONDS
from poplarlug.control.snapshot_store import decode_snapshot
from poplarlug.transport import Transport
from poplarlug.types import Seconds

MAX_ENTRIES_PER_REQUEST = 512
MAX_BYTES_PER_REQUEST = 256 * 1024
MAX_REQUESTS_IN_FLIGHT = 8
SNAPSHOT_CHUNK_BYTES = 256 * 1024


class Peer:
    """
    Replicate the leader's log to one replica during one term.

    Requests are pipelined: the next one may be sent before the previous one is
    answered.

    Parameters
    ----------
    on_match : callable
        Called when the peer has made more of the log durable.

    Attributes
    ----------
    match_index : int
        Last index up to which the peer's log is durable and matches the leader's.
    other_incarnation : str or None
        Incarnation under which the peer answers if it isn't the member's, as after the
        loss of its disk.
    """

    def __init__(
        self,
        *,
        member: Member,
        state: ConsensusState,
        transport: Transport,
        on_match: Callable[[], None],
    ) -> None:
        self.member = member
        self.match_index = 0
        self.other_incarnation: str | None = None
        self.wake = asyncio.Event()
        self._state = state
        self._transport = transport
        self._on_match = on_match
        self._term = state.term
        self._next_index = state.log.last_index + 1
        self._must_back_off = False
        self._in_flight: set[asyncio.Task[None]] = set()
        self._failure: BaseException | None = None

    async def run(self) -> None:
        """Send entries and heartbeats until cancelled."""
        try:
            while self._state.leads(self._term):
                await self._send_next()
                await self._wait()
                if self._failure is not None:
                    raise self._failure
        finally:
            for task in self._in_flight:
                task.cancel()

    async def _send_next(self) -> None:
        if self._next_index <= self._state.log.base_index:
            await self._send_snapshot()
        elif len(self._in_flight) < MAX_REQUESTS_IN_FLIGHT:
            request = self._next_request()
            self._next_index += len(request.entries)
            task = asyncio.ensure_future(self._append(request))
            self._in_flight.add(task)
            task.add_done_callback(self._finish)

    def _finish(self, task: "asyncio.Task[None]") -> None:
        self._in_flight.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()
            self.wake.set()

    async def _wait(self) -> None:
        if self._must_back_off:
            self._must_back_off = False
            await asyncio.sleep(HEARTBEAT_SECONDS)
            return
        has_more = self._next_index <= self._state.log.last_index
        if has_more and len(self._in_flight) < MAX_REQUESTS_IN_FLIGHT:
            await asyncio.sleep(0)
            return
        try:
            async with asyncio.timeout(HEARTBEAT_SECONDS):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    def _next_request(self) -> AppendRequest:
        log = self._state.log
        previous = self._next_index - 1
        previous_term = log.term_at(previous)
        assert previous_term is not None
        entries = log.entries_between(self._next_index, MAX_ENTRIES_PER_REQUEST)
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.data)
            if size > MAX_BYTES_PER_REQUEST and count:
                entries = entries[:count]
                break
        return AppendRequest(
            self._term,
            self.member.incarnation,
            previous,
            previous_term,
            self._state.commit_index,
            entries,
        )

    async def _append(self, request: AppendRequest) -> None:
        sent_at = self._state.now()
        reply = await self._transport.request(
            peer=self.member.name,
            topic=APPEND_TOPIC,
            message=request,
            reply_type=AppendReply,
            timeout_seconds=APPEND_TIMEOUT_SECONDS,
        )
        if not isinstance(reply, Success):
            self._next_index = min(self._next_index, request.previous_index + 1)
            self._must_back_off = True
            return
        answer = reply.unwrap()
        if not self._is_valid(answer.term, answer.incarnation, sent_at):
            return
        if answer.accepted:
            self._record_match(answer.match_index)
        else:
            retry_index = min(request.previous_index, answer.match_index + 1)
            self._next_index = max(
                self.match_index + 1, min(self._next_index, retry_index)
            )
            self.wake.set()

    def _record_match(self, match_index: int) -> None:
        if match_index > self.match_index:
            self.match_index = match_index
            self._on_match()
        self._next_index = max(self._next_index, self.match_index + 1)

    def _is_valid(self, term: int, incarnation: str, sent_at: Seconds) -> bool:
        if incarnation != self.member.incarnation:
            self.other_incarnation = incarnation
            self._must_back_off = True
            return False
        if term > self._term:
            self._state.observe_term(term)
        if not self._state.leads(self._term):
            return False
        self.other_incarnation = None
        self._state.lease.renew(self.member.name, sent_at)
        return True

    async def _send_snapshot(self) -> None:
        data = self._state.snapshots.read()
        assert data is not None
        snapshot = decode_snapshot(data).unwrap()
        offset = 0
        while self._state.leads(self._term):
            sent_at = self._state.now()
            reply = await self._transport.request(
                peer=self.member.name,
                topic=INSTALL_TOPIC,
                message=InstallRequest(
                    self._term,
                    self.member.incarnation,
                    snapshot.log_index,
                    len(data),
                    offset,
                    data[offset : offset + SNAPSHOT_CHUNK_BYTES],
                ),
                reply_type=InstallReply,
                timeout_seconds=APPEND_TIMEOUT_SECONDS,
            )
            if not isinstance(reply, Success):
                self._must_back_off = True
                return
            answer = reply.unwrap()
            if not self._is_valid(answer.term, answer.incarnation, sent_at):
                return
            if answer.installed:
                self._next_index = snapshot.log_index + 1
                return
            if answer.offset == 0:
                self._must_back_off = True
                return
            offset = answer.offset
