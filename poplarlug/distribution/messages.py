"""Messages that distribute the configuration."""

from typing import NamedTuple

from poplarlug.catalog import Update
from poplarlug.types import ConfigVersion, VmName

PUSH_TOPIC = "distribution.push"
PULL_TOPIC = "distribution.pull"
VERSION_TOPIC = "distribution.version"


class HeldVersion(NamedTuple):
    """
    The version in force on a VM, as reported by that VM.

    Parameters
    ----------
    is_current : bool
        Whether the VM knows that it held no later version in an earlier run of the
        group. True for a control replica in contact with its leader and for an entry
        that serves requests.
    """

    vm: VmName
    version: ConfigVersion
    state_hash: str
    is_current: bool = True


class Push(NamedTuple):
    """
    Request to bring an update into force.

    A receiver whose version is older than the update's base pulls the missing versions
    from the sender. An update whose base equals its version therefore only announces
    that the version exists.

    Parameters
    ----------
    relay : bool
        Whether the receiver forwards it to the other entries of its zone.
    """

    update: Update
    relay: bool


class PushReply(NamedTuple):
    """Versions in force at the receiver and at the peers it reached."""

    held: tuple[HeldVersion, ...]


class PullRequest(NamedTuple):
    """Request for all changes after ``version``; answered by a stream."""

    version: ConfigVersion


class VersionRequest(NamedTuple):
    """Request for the version in force."""


def version_notice(version: ConfigVersion) -> Update:
    """Return an update that only announces that ``version`` exists."""
    return Update(version, version)
