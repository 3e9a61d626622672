"""Lists a zone's upstreams for the control group."""

from collections.abc import Callable
from typing import NamedTuple

from poplarlug.membership.upstreams import Announcement
from poplarlug.transport import Transport
from poplarlug.types import VmName

UPSTREAMS_TOPIC = "membership.upstreams"


class ListUpstreams(NamedTuple):
    """Request for the upstreams of the receiving entry's zone."""


class ListedUpstreams(NamedTuple):
    announcements: tuple[Announcement, ...]


def serve_upstreams(
    transport: Transport, announcements: Callable[[], tuple[Announcement, ...]]
) -> None:
    """Answer :class:`ListUpstreams` with the result of ``announcements``."""

    async def serve(sender: VmName, message: ListUpstreams) -> ListedUpstreams:
        return ListedUpstreams(announcements())

    transport.serve(UPSTREAMS_TOPIC, ListUpstreams, serve)
