"""Ways to end a connection that the socket API alone offers."""

import asyncio
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value that makes closing a socket send a TCP reset."""


def reset_connection(transport: asyncio.BaseTransport) -> None:
    """Reset a connection and discard the data in the kernel's send buffer."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    assert isinstance(transport, asyncio.WriteTransport)
    transport.abort()
