"""Operators' changes and what became of them."""

from enum import Enum
from typing import NamedTuple

from poplarlug.catalog.objects import Kind
from poplarlug.types import ConfigVersion


class Change(NamedTuple):
    """
    One operator's change of one object.

    Parameters
    ----------
    change_id : str
        Chosen by the client; a resend carries the same one.
    expected_version : int
        Version of the object that the change was made from; 0 for a new one.
    value : bytes or None
        The object in msgpack; ``None`` deletes it.
    """

    change_id: str
    kind: Kind
    name: str
    expected_version: ConfigVersion
    value: bytes | None


class ChangeStatus(Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class ChangeOutcome(NamedTuple):
    """
    Answer to a change.

    Parameters
    ----------
    version : int
        The object's version after the change, or the present one at a conflict.
    """

    status: ChangeStatus
    version: ConfigVersion
    message: str = ""
