"""Calls from any control replica that only the leader answers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.control.replicated_log import ReplicatedLog
from poplarlug.transport import Transport, TransportErrorKind
from poplarlug.types import Seconds, VmName

R = TypeVar("R")

LEADER_CALL_TOPIC = "control.leader"
LINK_RETRY_SECONDS = 0.1

LeaderHandler = Callable[[Any], Awaitable[Any]]


class LeaderCall(NamedTuple):
    """Name of a call and its message in msgpack."""

    name: str
    body: bytes


class LeaderAnswer(NamedTuple):
    """Reply in msgpack, or the reason why there is none."""

    body: bytes
    error: str = ""


class _Handler(NamedTuple):
    message_type: Any
    handle: LeaderHandler


class LeaderCalls:
    """
    Register handlers by name and call them at the leader.

    Parameters
    ----------
    log : ReplicatedLog
        Identifies the leader.
    """

    def __init__(self, *, log: ReplicatedLog, transport: Transport) -> None:
        self._log = log
        self._transport = transport
        self._handlers_by_name: dict[str, _Handler] = {}
        transport.serve(LEADER_CALL_TOPIC, LeaderCall, self._serve)

    def register(self, name: str, message_type: Any, handle: LeaderHandler) -> None:
        """Answer calls of ``name`` with ``handle(message)`` while leading."""
        self._handlers_by_name[name] = _Handler(message_type, handle)

    async def call(
        self, name: str, message: Any, reply_type: type[R], timeout_seconds: Seconds
    ) -> Result[R, str]:
        """
        Return the leader's reply, or why there is none.

        Parameters
        ----------
        timeout_seconds : float
            Maximum wait for the reply, in seconds.
        """
        if self._log.is_leader:
            return Success(await self._handlers_by_name[name].handle(message))
        leader = self._log.leader
        if leader is None or leader == self._transport.name:
            return Failure("no leader is known; retry")
        call = LeaderCall(name, msgspec.msgpack.encode(message))
        answer = await self._send(leader, call, timeout_seconds)
        if isinstance(answer, Failure):
            return answer
        body, error = answer.unwrap()
        if error:
            return Failure(error)
        return Success(msgspec.msgpack.decode(body, type=reply_type))

    async def _send(
        self, leader: VmName, call: LeaderCall, timeout_seconds: Seconds
    ) -> Result[LeaderAnswer, str]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while True:
            answer = await self._transport.request(
                peer=leader,
                topic=LEADER_CALL_TOPIC,
                message=call,
                reply_type=LeaderAnswer,
                timeout_seconds=max(0.0, deadline - loop.time()),
            )
            if not isinstance(answer, Failure):
                return Success(answer.unwrap())
            error = answer.failure()
            if error.kind is not TransportErrorKind.NOT_SENT:
                return Failure(error.message)
            if loop.time() + LINK_RETRY_SECONDS >= deadline:
                return Failure(error.message)
            await asyncio.sleep(LINK_RETRY_SECONDS)

    async def _serve(self, sender: VmName, call: LeaderCall) -> LeaderAnswer:
        if not self._log.is_leader:
            return LeaderAnswer(b"", f"{self._transport.name} is not the leader; retry")
        handler = self._handlers_by_name.get(call.name)
        if handler is None:
            return LeaderAnswer(b"", f"no handler is named {call.name!r}")
        try:
            message = msgspec.msgpack.decode(call.body, type=handler.message_type)
        except ValueError as error:
            return LeaderAnswer(b"", f"malformed call: {error}")
        return LeaderAnswer(msgspec.msgpack.encode(await handler.handle(message)))
