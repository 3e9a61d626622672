"""Why an exchange with a peer failed."""

from enum import Enum
from typing import NamedTuple

from returns.result import Failure

from poplarlug.types import VmName


class TransportErrorKind(Enum):
    """
    Why an exchange failed.

    ``NOT_SENT`` is the only kind that says that the peer did not get it.
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
    """Return the failure of a frame for which no link stands."""
    return Failure(
        TransportError(TransportErrorKind.NOT_SENT, f"no link to {peer}; retry later")
    )
