"""Replicated state of routing: the route table and evacuated zones."""

from typing import NamedTuple

import msgspec

from poplarlug.catalog import ChangeOutcome, ChangeStatus
from poplarlug.latest import Latest
from poplarlug.routes import RouteTable, check_route_table
from poplarlug.types import ZoneName


class RouteTableChange(NamedTuple):
    """
    Bring a whole route table into force.

    Parameters
    ----------
    table : bytes
        A :class:`RouteTable` in msgpack.
    source : bytes
        The operator's document, returned unchanged to readers.
    """

    table: bytes
    source: bytes


class EvacuationChange(NamedTuple):
    """Stop sending requests to a zone's upstreams, or resume."""

    zone: ZoneName
    evacuated: bool


class RoutingImage(NamedTuple):
    """Snapshot of a :class:`RoutingState`."""

    table: bytes = b""
    source: bytes = b""
    evacuated_zones: tuple[ZoneName, ...] = ()
    revision: int = 0


class RoutingState:
    """
    The route table with the highest version, and the evacuated zones.

    ``revision`` increases by one with every change of either and is the same on all
    replicas.
    """

    def __init__(self) -> None:
        self._image = RoutingImage()
        self.table: RouteTable | None = None
        self.revision: Latest[int] = Latest(initial=0)

    @property
    def image(self) -> RoutingImage:
        return self._image

    @property
    def version(self) -> int:
        """Version of the table; -1 if there is none."""
        return -1 if self.table is None else self.table.version

    def restore(self, image: RoutingImage) -> None:
        """Replace the whole state with ``image``."""
        self._image = image
        self.table = decode_table(image.table) if image.table else None
        self.revision.set(image.revision)

    def change_table(self, change: RouteTableChange) -> ChangeOutcome:
        """
        Replace the table if the new version is higher.

        A table whose version is not higher is accepted without effect, so that a
        resent or outdated change still gets an answer.
        """
        table = decode_table(change.table)
        if table is None:
            message = "the table can't be read"
            return ChangeOutcome(ChangeStatus.INVALID, 0, message)
        problems = check_route_table(table)
        if problems:
            return ChangeOutcome(ChangeStatus.INVALID, 0, str(problems[0]))
        if table.version > self.version:
            self.table = table
            self._set(self._image._replace(table=change.table, source=change.source))
        return ChangeOutcome(ChangeStatus.ACCEPTED, self.version)

    def change_evacuation(self, change: EvacuationChange) -> ChangeOutcome:
        """Start or end the evacuation of a zone; a resend changes nothing."""
        zones = set(self._image.evacuated_zones) - {change.zone}
        if change.evacuated:
            zones.add(change.zone)
        if zones != set(self._image.evacuated_zones):
            self._set(self._image._replace(evacuated_zones=tuple(sorted(zones))))
        return ChangeOutcome(ChangeStatus.ACCEPTED, self._image.revision)

    def _set(self, image: RoutingImage) -> None:
        self._image = image._replace(revision=image.revision + 1)
        self.revision.set(self._image.revision)


def encode_table(table: RouteTable) -> bytes:
    return msgspec.msgpack.encode(table)


def decode_table(data: bytes) -> RouteTable | None:
    """Return the table in ``data``, ``None`` if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(data, type=RouteTable)
    except (ValueError, TypeError, RecursionError):
        return None
