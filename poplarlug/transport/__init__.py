"""Messaging between the processes of a deployment: requests, notices and streams."""

from poplarlug.transport.base import Transport
from poplarlug.transport.errors import TransportError, TransportErrorKind
from poplarlug.transport.memory import MemoryNetwork, MemoryTransport
from poplarlug.transport.streams import IncomingStream
from poplarlug.transport.zeromq import NamedByAddress, ZmqTransport

__all__ = [
    "IncomingStream",
    "MemoryNetwork",
    "MemoryTransport",
    "NamedByAddress",
    "Transport",
    "TransportError",
    "TransportErrorKind",
    "ZmqTransport",
]
