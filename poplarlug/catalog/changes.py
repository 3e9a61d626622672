"""Changes made by operators, and their outcomes."""

from enum import Enum
from typing import NamedTuple

from poplarlug.catalog.objects import Kind
from poplarlug.types import ConfigVersion


class Change(NamedTuple):
    """
    An operator's change of one object.

    Parameters
    ----------
    change_id : str
        Chosen by the client, which reuses it when it resends the change.
    expected_version : int
        Object version that the change is based on; 0 for a new object.
    value : bytes or None
        The object encoded as msgpack; ``None`` deletes it.
    """

    change_id: str
    kind: Kind
    name: str
    expected_version: ConfigVersion
    value: bytes | None


class ChangeStatus(Enum):
    """Status of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class ChangeOutcome(NamedTuple):
    """
    Reply to a change.

    Parameters
    ----------
    version : int
        The object's version after the change, or its current one on a conflict.
    """

    status: ChangeStatus
    version: ConfigVersion
    message: str = ""
