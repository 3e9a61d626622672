"""Messages and streams between the system's own processes."""

from poplarlug.transport.base import (
    IncomingStream,
    Transport,
    TransportError,
    TransportErrorKind,
)
from poplarlug.transport.memory import MemoryNetwork, MemoryTransport
from poplarlug.transport.zeromq import ZmqTransport

__all__ = [
    "IncomingStream",
    "MemoryNetwork",
    "MemoryTransport",
    "Transport",
    "TransportError",
    "TransportErrorKind",
    "ZmqTransport",
]
