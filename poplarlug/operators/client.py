"""gRPC client for operators that fails over between replicas and resends changes."""

import time
import uuid
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import grpc
from returns.result import Failure, Result, Success

from poplarlug.catalog import CatalogObject, Kind
from poplarlug.control.conversion import to_message
from poplarlug.schema import operators_pb2 as pb
from poplarlug.schema.operators_pb2_grpc import OperatorsStub
from poplarlug.types import Address, ConfigVersion, Seconds

CALL_TIMEOUT_SECONDS = 10.0
MAX_RESEND_SECONDS = 30.0
RESEND_PAUSE_SECONDS = 0.2
MAX_REPLY_BYTES = 16 * 1024 * 1024
RETRYABLE_STATUSES = ("UNAVAILABLE", "DEADLINE_EXCEEDED", "INTERNAL", "UNKNOWN")
"""gRPC statuses that leave the outcome open; the call is retried at other replicas."""


class ClientError(NamedTuple):
    """Why a call has no reply; ``code`` is the gRPC status name."""

    code: str
    message: str


class TlsOptions(NamedTuple):
    """
    How the servers' certificates are verified.

    Parameters
    ----------
    ca_file : str
        File with the trusted certificates in PEM format.
    server_name : str
        Name in the servers' certificates if it differs from their address.
    """

    ca_file: str
    server_name: str = ""


class OperatorClient:
    """
    Call the ``Operators`` service at the first control replica that answers.

    Parameters
    ----------
    servers : sequence of Address
        gRPC addresses of the control replicas.
    key : str
        The operator's key.
    tls : TlsOptions, optional
        Without it, calls are not encrypted.
    resend_seconds : float
        How long a call without a final reply is retried, in seconds.
    """

    def __init__(
        self,
        *,
        servers: Sequence[Address],
        key: str,
        tls: TlsOptions | None = None,
        resend_seconds: Seconds = MAX_RESEND_SECONDS,
        clock: Callable[[], Seconds] = time.monotonic,
    ) -> None:
        self._metadata = (("authorization", f"Bearer {key}"),)
        self._resend_seconds = resend_seconds
        self._clock = clock
        self._channels = [_open_channel(address, tls) for address in servers]
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
        wait_seconds: Seconds = 0.0,
    ) -> Result[Any, ClientError]:
        """
        Make a change; resend it under the same id while its outcome is unknown.

        Parameters
        ----------
        wait_seconds : float
            Maximum wait, once accepted, until the change is in force in all zones.

        Returns
        -------
        Success(pb.ChangeReply) or Failure(ClientError)
            A change whose reply has status ``UNKNOWN`` may still be accepted.
        """
        request = pb.ChangeRequest(
            change_id=change_id or uuid.uuid4().hex,
            expected_version=expected_version,
            object=to_message(kind, value, expected_version),
            delete=delete,
            wait_seconds=wait_seconds,
        )
        return self._call_until_final(
            lambda stub: stub.Change,
            request,
            CALL_TIMEOUT_SECONDS + wait_seconds,
            lambda reply: reply.status != pb.ChangeReply.UNKNOWN,
        )

    def order(self, request: Any) -> Result[Any, ClientError]:
        """Send an order; resend it under the same id while its outcome is unknown."""
        return self._call_until_final(
            lambda stub: stub.Order,
            request,
            CALL_TIMEOUT_SECONDS,
            lambda reply: reply.status != pb.OrderReply.UNKNOWN,
        )

    def list(self, kind: Kind, *, may_be_old: bool = False) -> Iterator[Any]:
        """
        Yield all objects of ``kind`` as ``pb.CatalogObject``, ordered by name.

        Yields
        ------
        Result
            ``Failure(ClientError)`` ends the list early.
        """
        request = pb.ListRequest(kind=kind, may_be_old=may_be_old)
        while True:
            result = self.call(lambda stub: stub.List, request)
            if isinstance(result, Failure):
                yield result
                return
            reply = result.unwrap()
            for message in reply.objects:
                yield Success(message)
            if not reply.has_more:
                return
            last = reply.objects[-1]
            request.after_name = getattr(last, last.WhichOneof("object")).name

    def call(
        self,
        method: Callable[[Any], Any],
        request: Any,
        *,
        timeout_seconds: Seconds = CALL_TIMEOUT_SECONDS,
    ) -> Result[Any, ClientError]:
        """Call one method at the first replica that answers."""
        return self._call_until_final(
            method, request, timeout_seconds, lambda reply: True
        )

    def _call_until_final(
        self,
        method: Callable[[Any], Any],
        request: Any,
        timeout_seconds: Seconds,
        is_final: Callable[[Any], bool],
    ) -> Result[Any, ClientError]:
        deadline = self._clock() + self._resend_seconds
        while True:
            result = self._call_once(method, request, timeout_seconds)
            if isinstance(result, Failure):
                if result.failure().code not in RETRYABLE_STATUSES:
                    return result
            elif is_final(result.unwrap()):
                return result
            if self._clock() > deadline:
                return result
            time.sleep(RESEND_PAUSE_SECONDS)

    def _call_once(
        self, method: Callable[[Any], Any], request: Any, timeout_seconds: Seconds
    ) -> Result[Any, ClientError]:
        error = ClientError("UNAVAILABLE", "no control replica is configured")
        for stub in list(self._stubs):
            try:
                reply = method(stub)(
                    request, metadata=self._metadata, timeout=timeout_seconds
                )
                return Success(reply)
            except grpc.RpcError as failure:
                error = ClientError(failure.code().name, failure.details() or "")
                if error.code not in RETRYABLE_STATUSES:
                    break
                # Rotate so that the next call starts with another replica.
                self._stubs.append(self._stubs.pop(0))
        return Failure(error)


def _open_channel(address: Address, tls: TlsOptions | None) -> Any:
    options: list[tuple[str, Any]] = [
        ("grpc.max_receive_message_length", MAX_REPLY_BYTES)
    ]
    if tls is None:
        return grpc.insecure_channel(address, options)
    if tls.server_name:
        options.append(("grpc.ssl_target_name_override", tls.server_name))
    trusted_certificates = Path(tls.ca_file).read_bytes()
    return grpc.secure_channel(
        address, grpc.ssl_channel_credentials(trusted_certificates), options
    )
