"""The operators' gRPC service of one control replica."""

import hmac
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import grpc
import msgspec
from returns.result import Failure, Result

from poplarlug.catalog import Change, ChangeOutcome, ChangeStatus
from poplarlug.catalog.catalog import encode_object
from poplarlug.control.conversion import from_message, to_message
from poplarlug.control.replicated_log import ProposeError, ProposeErrorKind
from poplarlug.control.state import ControlState
from poplarlug.keys import hash_caller_key
from poplarlug.logs import PartLog
from poplarlug.schema import operators_pb2 as pb
from poplarlug.schema.operators_pb2_grpc import OperatorsServicer

_STATUS_BY_OUTCOME = {
    ChangeStatus.ACCEPTED: pb.ChangeReply.ACCEPTED,
    ChangeStatus.CONFLICT: pb.ChangeReply.CONFLICT,
    ChangeStatus.INVALID: pb.ChangeReply.INVALID,
    ChangeStatus.UNKNOWN: pb.ChangeReply.UNKNOWN,
}

Propose = Callable[[bytes], Awaitable[Result[ChangeOutcome, ProposeError]]]

_log = PartLog(prefix="operators")


class OperatorService(OperatorsServicer):  # type: ignore[misc]
    """
    Serve operators from the replicated state.

    Parameters
    ----------
    propose : callable
        Takes a command to the leader and returns its outcome.
    """

    def __init__(self, *, state: ControlState, propose: Propose) -> None:
        self._state = state
        self._propose = propose

    async def Change(self, request: Any, context: Any) -> Any:  # noqa: N802
        change = _to_change(request)
        if change is None:
            return pb.ChangeReply(
                status=pb.ChangeReply.INVALID,
                message="got no object or no change_id, expected both",
            )
        result = await self._propose(msgspec.msgpack.encode(change))
        if isinstance(result, Failure):
            error = result.failure()
            if error.kind is ProposeErrorKind.NOT_LEADER:
                await context.abort(grpc.StatusCode.UNAVAILABLE, error.message)
            return pb.ChangeReply(
                status=pb.ChangeReply.UNKNOWN,
                message=f"{error.message}; resend the same change_id",
            )
        outcome = result.unwrap()
        _log.info(
            "change decided",
            kind=change.kind,
            name=change.name,
            status=outcome.status.value,
            version=outcome.version,
        )
        return pb.ChangeReply(
            status=_STATUS_BY_OUTCOME[outcome.status],
            version=outcome.version,
            message=outcome.message,
        )

    async def List(self, request: Any, context: Any) -> Any:  # noqa: N802
        catalog = self._state.catalog
        names = [request.name] if request.name else catalog.names(request.kind)
        reply = pb.ListReply()
        for name in names:
            value = catalog.get(request.kind, name)
            if value is not None:
                version = catalog.object_version(request.kind, name)
                reply.objects.append(to_message(request.kind, value, version))
        return reply

    async def ConfigStatus(self, request: Any, context: Any) -> Any:  # noqa: N802
        catalog = self._state.catalog
        return pb.ConfigStatusReply(
            version=catalog.version, state_hash=catalog.state_hash()
        )


class OperatorAuthentication(grpc.aio.ServerInterceptor):  # type: ignore[misc]
    """Refuse calls that carry no operator's key."""

    def __init__(self, *, key_hashes: Iterable[str]) -> None:
        self._key_hashes = tuple(key_hashes)

    async def intercept_service(self, continuation: Any, details: Any) -> Any:
        metadata = dict(details.invocation_metadata)
        scheme, _, key = str(metadata.get("authorization", "")).partition(" ")
        given = hash_caller_key(key)
        known = any(hmac.compare_digest(given, held) for held in self._key_hashes)
        if scheme == "Bearer" and known:
            return await continuation(details)
        return grpc.unary_unary_rpc_method_handler(_refuse)


async def _refuse(request: Any, context: Any) -> Any:
    await context.abort(
        grpc.StatusCode.UNAUTHENTICATED, "the call carries no operator's key"
    )


def _to_change(request: Any) -> Change | None:
    parsed = from_message(request.object)
    if parsed is None or not request.change_id:
        return None
    kind, value = parsed
    data = None if request.delete else encode_object(value)
    return Change(request.change_id, kind, value.name, request.expected_version, data)
