"""Commands that show the configuration in force and the whole deployment."""

from typing import Any

from poplarlug.operators.output import print_rows
from poplarlug.operators.session import EXIT_UNREACHABLE, Session, fail
from poplarlug.schema import operators_pb2 as pb


class ConfigCommands:
    """The configuration as a whole."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def status(self) -> None:
        """
        Show the version in force on each entry VM and how far it lags.

        The first row is the accepted version. LAG is the number of changes that the
        VM lacked when it last reported, AGE_SECONDS ago (-1 if it never reported); a
        VM that is cut off may have a later change in force. STATE_HASH is the same
        on all processes that hold the same version.
        """
        reply = read_config_status(self._session)
        rows: list[dict[str, Any]] = [
            {
                "vm": f"(accepted, read at {reply.replica})",
                "region": "",
                "zone": "",
                "version": reply.version,
                "lag": 0,
                "age_seconds": 0.0,
                "state_hash": reply.state_hash,
            }
        ]
        for vm in reply.vms:
            rows.append(
                {
                    "vm": vm.vm,
                    "region": vm.region,
                    "zone": vm.zone,
                    "version": vm.version,
                    "lag": max(0, reply.version - vm.version),
                    "age_seconds": round(vm.age_seconds, 1),
                    "state_hash": vm.state_hash,
                }
            )
        print_rows(rows, self._session.options.output)
        if reply.message:
            fail(EXIT_UNREACHABLE, f"the leader was not reached: {reply.message}")


def read_config_status(session: Session) -> Any:
    """Return the ``pb.ConfigStatusReply`` of the first replica that answers."""
    return session.call(lambda stub: stub.ConfigStatus, pb.ConfigStatusRequest())


def print_status(session: Session) -> None:
    """Print one row per zone with its versions in force and upstreams."""
    config = read_config_status(session)
    upstream_list = session.call(lambda stub: stub.Upstreams, pb.UpstreamsRequest())
    vms_by_zone: dict[tuple[str, str], list[Any]] = {}
    for vm in config.vms:
        vms_by_zone.setdefault((vm.region, vm.zone), []).append(vm)
    rows = []
    for (region, zone), vms in sorted(vms_by_zone.items()):
        upstreams = [u for u in upstream_list.upstreams if u.zone == zone]
        reached = [vm for vm in vms if vm.version > 0]
        lowest = min((vm.version for vm in reached), default=0)
        rows.append(
            {
                "region": region,
                "zone": zone,
                "entries_reported": f"{len(reached)}/{len(vms)}",
                "lowest_version": lowest,
                "lag": max(0, config.version - lowest),
                "upstreams_serving": sum(u.state == "serving" for u in upstreams),
                "reached": zone not in upstream_list.zones_not_reached,
                "accepted_version": config.version,
                "leader": config.leader,
            }
        )
    print_rows(rows, session.options.output)
    if config.message:
        fail(EXIT_UNREACHABLE, f"the leader was not reached: {config.message}")
