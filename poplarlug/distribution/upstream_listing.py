"""Tells the control group which upstreams a zone has."""

from collections.abc import Callable
from typing import NamedTuple

from poplarlug.membership.upstreams import Announcement
from poplarlug.transport import Transport
from poplarlug.types import VmName

UPSTREAMS_TOPIC = "membership.upstreams"


class ListUpstreams(NamedTuple):
    """Ask an entry for the upstreams of its zone."""


class ListedUpstreams(NamedTuple):
    announcements: tuple[Announcement, ...]


def serve_upstreams(
    transport: Transport, announcements: Callable[[], tuple[Announcement, ...]]
) -> None:
    """Answer with what ``announcements`` returns."""

    async def serve(sender: VmName, message: ListUpstreams) -> ListedUpstreams:
        return ListedUpstreams(announcements())

    transport.serve(UPSTREAMS_TOPIC, ListUpstreams, serve)
