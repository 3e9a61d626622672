"""Ways to end a connection that the socket API alone offers."""

import asyncio
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value that makes closing a socket send a TCP reset."""

DEFAULT_LINGER = struct.pack("ii", 0, 0)


def set_reset_at_close(transport: asyncio.BaseTransport, is_reset: bool) -> None:
    """Set whether a connection ends with a TCP reset, also if this process ends."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        linger = NO_LINGER if is_reset else DEFAULT_LINGER
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def reset_connection(transport: asyncio.BaseTransport) -> None:
    """Reset a connection and discard the data in the kernel's send buffer."""
    set_reset_at_close(transport, True)
    assert isinstance(transport, asyncio.WriteTransport)
    transport.abort()
