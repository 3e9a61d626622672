"""Messages by which configuration travels."""

from typing import NamedTuple

from poplarlug.catalog import Update
from poplarlug.types import ConfigVersion, VmName

PUSH_TOPIC = "distribution.push"
PULL_TOPIC = "distribution.pull"
VERSION_TOPIC = "distribution.version"


class HeldVersion(NamedTuple):
    """
    The version in force on a VM, as that VM said itself.

    Parameters
    ----------
    is_current : bool
        Whether the VM knows that it held no later one in an earlier run of the group:
        a control replica in touch with its leader, or an entry that serves.
    """

    vm: VmName
    version: ConfigVersion
    state_hash: str
    is_current: bool = True


class Push(NamedTuple):
    """
    Bring an update into force.

    A receiver that lacks versions before the update's base pulls them from
    the sender; so an update from its own version on to the same one stands for
    "there is this version".

    Parameters
    ----------
    relay : bool
        Whether the receiver passes it on to the other entries of its zone.
    """

    update: Update
    relay: bool


class PushReply(NamedTuple):
    """Versions in force at the receiver and at those it reached."""

    held: tuple[HeldVersion, ...]


class PullRequest(NamedTuple):
    """Ask for what a holder of ``version`` lacks; answered by a stream."""

    version: ConfigVersion


class VersionRequest(NamedTuple):
    """Ask for the version in force."""


def version_notice(version: ConfigVersion) -> Update:
    """Return an update that only says that there is ``version``."""
    return Update(version, version)
