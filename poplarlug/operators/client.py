"""Client of the operators' gRPC that tries all replicas and resends changes."""

import time
import uuid
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import grpc
from returns.result import Failure, Result, Success

from poplarlug.catalog import CatalogObject, Kind
from poplarlug.control.conversion import to_message
from poplarlug.schema import operators_pb2 as pb
from poplarlug.schema.operators_pb2_grpc import OperatorsStub
from poplarlug.types import Address, ConfigVersion, Seconds

CALL_TIMEOUT_SECONDS = 10.0
RESEND_SECONDS = 30.0
RESEND_PAUSE_SECONDS = 0.2


class ClientError(NamedTuple):
    """Why an operation has no answer; ``code`` is the gRPC status name."""

    code: str
    message: str


class OperatorClient:
    """
    Call the operators' service of whichever replica answers.

    Parameters
    ----------
    servers : sequence of Address
        gRPC addresses of the control replicas.
    key : str
        The operator's key.
    """

    def __init__(self, *, servers: Sequence[Address], key: str) -> None:
        self._metadata = (("authorization", f"Bearer {key}"),)
        self._channels = [grpc.insecure_channel(address) for address in servers]
        self._stubs = [OperatorsStub(channel) for channel in self._channels]

    def close(self) -> None:
        for channel in self._channels:
            channel.close()

    def change(
        self,
        kind: Kind,
        value: CatalogObject,
        *,
        expected_version: ConfigVersion,
        delete: bool = False,
        change_id: str | None = None,
    ) -> Result[Any, ClientError]:
        """
        Make a change; resend it under the same id while its outcome is unknown.

        Returns
        -------
        Success(pb.ChangeReply) or Failure(ClientError)
        """
        request = pb.ChangeRequest(
            change_id=change_id or uuid.uuid4().hex,
            expected_version=expected_version,
            object=to_message(kind, value, expected_version),
            delete=delete,
        )
        give_up = time.monotonic() + RESEND_SECONDS
        while True:
            result = self.call(lambda stub: stub.Change, request)
            if isinstance(result, Success):
                reply = result.unwrap()
                if reply.status != pb.ChangeReply.UNKNOWN:
                    return result
            if time.monotonic() > give_up:
                return result
            time.sleep(RESEND_PAUSE_SECONDS)

    def call(
        self,
        method: Callable[[Any], Any],
        request: Any,
        *,
        timeout_seconds: Seconds = CALL_TIMEOUT_SECONDS,
    ) -> Result[Any, ClientError]:
        """Call one method at the first replica that is reached."""
        error = ClientError("UNAVAILABLE", "no control replica is configured")
        for stub in self._stubs:
            try:
                reply = method(stub)(
                    request, metadata=self._metadata, timeout=timeout_seconds
                )
                return Success(reply)
            except grpc.RpcError as failure:
                error = ClientError(failure.code().name, failure.details() or "")
                if failure.code() not in _TRY_ELSEWHERE:
                    break
        return Failure(error)


_TRY_ELSEWHERE = (
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED,
    grpc.StatusCode.INTERNAL,
)
