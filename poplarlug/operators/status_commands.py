"""Commands that show the configuration in force and the whole deployment."""

import urllib.request
from pathlib import Path
from typing import Any, cast, get_args

from poplarlug.addresses import is_address
from poplarlug.operators.config_check import (
    DEFAULT_DECODER,
    ReportFormat,
    check_configuration,
    load_decoder,
)
from poplarlug.operators.output import print_rows
from poplarlug.operators.session import (
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    Session,
    fail,
)
from poplarlug.schema import operators_pb2 as pb

READ_TIMEOUT_SECONDS = 10.0


class ConfigCommands:
    """The configuration as a whole."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def check(
        self,
        file: str,
        against: str = "",
        format: str = "text",
        decoder: str = DEFAULT_DECODER,
    ) -> None:
        """
        Check the configuration in FILE without submitting it.

        --against: what to compare it with: a file, the gRPC address of a control
        replica, or a URL. --format: text or json. --decoder: MODULE:FUNCTION that reads
        the document. The exit code is 0, 1 with warnings, 2 with errors.
        """
        if format not in get_args(ReportFormat):
            fail(EXIT_USAGE, f"got --format={format}, expected text or json")
        try:
            decode = load_decoder(decoder)
            document = Path(file).read_bytes()
            in_force = self._read(str(against)) if against else None
        except (OSError, ValueError) as error:
            fail(EXIT_USAGE, f"can't be checked: {error}")
        report = check_configuration(document, decode, in_force)
        print(report.render(cast(ReportFormat, format)))
        if report.status:
            raise SystemExit(report.status)

    def _read(self, place: str) -> bytes:
        """Return the document at a place that an operator named."""
        if place.startswith(("http://", "https://")):
            with urllib.request.urlopen(place, timeout=READ_TIMEOUT_SECONDS) as answer:
                return bytes(answer.read())
        if not is_address(place):
            return Path(place).read_bytes()
        options = self._session.options._replace(servers=(place,))
        reply = Session(options=options).call(
            lambda stub: stub.GetRoutes, pb.GetRoutesRequest()
        )
        return bytes(reply.document)

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
