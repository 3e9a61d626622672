"""Replicated state of routing: the route table and evacuated zones."""

from typing import NamedTuple

import msgspec

from poplarlug.catalog import ChangeOutcome, ChangeStatus
from poplarlug.latest import Latest
from poplarlug.routes import RouteTable, check_route_table
from poplarlug.teams import Team
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
    """
    Stop sending requests to a zone's upstreams, or resume.

    Parameters
    ----------
    expected : int or None
        Log index of the zone's last order when a replica read this one; 0 if there was
        none, ``None`` in logs of former releases.
    """

    zone: ZoneName
    evacuated: bool
    expected: int | None = None


class ZoneOrder(NamedTuple):
    """Log index of the last order for a zone."""

    zone: ZoneName
    log_index: int


class RoutingImage(NamedTuple):
    """Snapshot of a :class:`RoutingState`."""

    table: bytes = b""
    source: bytes = b""
    evacuated_zones: tuple[ZoneName, ...] = ()
    revision: int = 0
    orders: tuple[ZoneOrder, ...] = ()


class RoutingState:
    """
    The route table with the highest version, and the evacuated zones.

    ``revision`` increases by one with every change of either and is the same on all
    replicas.
    """

    def __init__(self) -> None:
        self._image = RoutingImage()
        self._last_orders_by_zone: dict[ZoneName, int] = {}
        self.table: RouteTable | None = None
        self._teams_by_name: dict[str, Team] = {}
        self.revision: Latest[int] = Latest(initial=0)

    @property
    def image(self) -> RoutingImage:
        return self._image

    def last_order(self, zone: ZoneName) -> int:
        """Return the log index of the last order for ``zone``; 0 if there is none."""
        return self._last_orders_by_zone.get(zone, 0)

    @property
    def has_quotas(self) -> bool:
        """Whether the table has teams with quotas."""
        return any(team.quota is not None for team in self._teams_by_name.values())

    def team(self, name: str) -> Team | None:
        """Return a team of the table, ``None`` if it has none of that name."""
        return self._teams_by_name.get(name)

    @property
    def version(self) -> int:
        """Version of the table; -1 if there is none."""
        return -1 if self.table is None else self.table.version

    def restore(self, image: RoutingImage) -> None:
        """Replace the whole state with ``image``."""
        self._image = image
        self._last_orders_by_zone = dict(image.orders)
        self._hold(decode_table(image.table) if image.table else None)
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
            self._hold(table)
            self._set(self._image._replace(table=change.table, source=change.source))
        return ChangeOutcome(ChangeStatus.ACCEPTED, self.version)

    def _hold(self, table: RouteTable | None) -> None:
        teams = () if table is None else table.teams or ()
        self.table = table
        self._teams_by_name = {team.name: team for team in teams}

    def change_evacuation(
        self, change: EvacuationChange, log_index: int
    ) -> ChangeOutcome:
        """
        Start or end the evacuation of a zone; a resend changes nothing.

        An order that a newer one for the zone has overtaken conflicts, unless both
        want the same.
        """
        zones = set(self._image.evacuated_zones) - {change.zone}
        if change.evacuated:
            zones.add(change.zone)
        last = self.last_order(change.zone)
        if zones != set(self._image.evacuated_zones):
            if change.expected not in (None, last):
                message = (
                    f"expected order {change.expected} as the last one for "
                    f"{change.zone}, found {last}; send the order again if it holds"
                )
                return ChangeOutcome(
                    ChangeStatus.CONFLICT, self._image.revision, message
                )
            self._set(self._image._replace(evacuated_zones=tuple(sorted(zones))))
        # Also for a resend: an order read before this one must not undo it.
        self._last_orders_by_zone[change.zone] = log_index
        orders = sorted(self._last_orders_by_zone.items())
        self._image = self._image._replace(
            orders=tuple(ZoneOrder(*order) for order in orders)
        )
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
