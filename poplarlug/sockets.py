"""What the socket API alone offers: ends of connections, and bytes on their way."""

import asyncio
import fcntl
import socket
import struct
import termios

NO_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value that makes closing a socket send a TCP reset."""

DEFAULT_LINGER = struct.pack("ii", 0, 0)

_INT = struct.Struct("i")


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


def count_unreceived(transport: asyncio.WriteTransport) -> int:
    """
    Return how many written bytes the peer's TCP stack hasn't acknowledged.

    Those in the kernel's buffer count only where the system tells.
    """
    count = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return count
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return count
    return count + _INT.unpack(queued)[0]
