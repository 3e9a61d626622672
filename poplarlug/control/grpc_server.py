"""The gRPC server of a control replica, with or without TLS."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import grpc

from poplarlug.control.operator_service import OperatorAuthentication, OperatorService
from poplarlug.schema.operators_pb2_grpc import add_OperatorsServicer_to_server
from poplarlug.types import Address

MAX_RPCS = 200
MAX_CONNECTIONS = 200
MAX_CALLS = 100
"""How many calls a connection may have in progress."""

MAX_REQUEST_BYTES = 1024 * 1024
MAX_READ_BYTES = 64 * 1024
"""Largest read of a connection; the library's own is 4 MB."""

HANDSHAKE_MILLISECONDS = 10_000
IDLE_MILLISECONDS = 60_000
"""How long a connection without calls stays open."""


class TlsFiles(NamedTuple):
    """
    Certificate and key of the gRPC server, in PEM format; empty for no TLS.

    Parameters
    ----------
    certificate_file, key_file : str
        Paths relative to the settings file's folder.
    """

    certificate_file: str = ""
    key_file: str = ""

    def relative_to(self, folder: Path) -> "TlsFiles":
        """Return the same files with paths resolved against ``folder``."""
        if not self.certificate_file:
            return self
        return TlsFiles(
            str(folder / self.certificate_file), str(folder / self.key_file)
        )


def build_server(
    *,
    service: OperatorService,
    address: Address,
    key_hashes: Iterable[str],
    tls: TlsFiles = TlsFiles(),
    max_connections: int = MAX_CONNECTIONS,
) -> Any:
    """Return a server for ``service`` that requires an operator's key."""
    max_connections = min(max_connections, MAX_CONNECTIONS)
    server = grpc.aio.server(
        interceptors=[OperatorAuthentication(key_hashes=key_hashes)],
        maximum_concurrent_rpcs=MAX_RPCS,
        options=[
            ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),
            ("grpc.max_allowed_incoming_connections", max_connections),
            ("grpc.max_concurrent_streams", MAX_CALLS),
            ("grpc.experimental.tcp_max_read_chunk_size", MAX_READ_BYTES),
            ("grpc.http2.bdp_probe", 0),
            ("grpc.server_handshake_timeout_ms", HANDSHAKE_MILLISECONDS),
            ("grpc.max_connection_idle_ms", IDLE_MILLISECONDS),
        ],
    )
    add_OperatorsServicer_to_server(service, server)
    if not tls.certificate_file:
        server.add_insecure_port(address)
        return server
    pair = (Path(tls.key_file).read_bytes(), Path(tls.certificate_file).read_bytes())
    server.add_secure_port(address, grpc.ssl_server_credentials([pair]))
    return server
