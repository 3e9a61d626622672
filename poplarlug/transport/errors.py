"""Errors of exchanges with a peer."""

from enum import Enum
from typing import NamedTuple

from returns.result import Failure

from poplarlug.types import VmName


class TransportErrorKind(Enum):
    """
    Why an exchange failed.

    Only ``NOT_SENT`` guarantees that the peer did not receive the message.
    """

    NOT_SENT = "not_sent"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    BROKEN = "broken"
    MALFORMED = "malformed"


class TransportError(NamedTuple):
    kind: TransportErrorKind
    message: str


def not_sent(peer: VmName) -> Failure[TransportError]:
    """Return the failure of a message to ``peer`` for which there is no link."""
    return Failure(
        TransportError(TransportErrorKind.NOT_SENT, f"no link to {peer}; retry later")
    )
