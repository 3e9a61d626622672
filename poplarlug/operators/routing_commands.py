"""Commands for the route table and evacuated zones."""

import sys
from pathlib import Path

from poplarlug.operators.output import print_rows
from poplarlug.operators.session import (
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    Session,
    fail,
)
from poplarlug.schema import operators_pb2 as pb


class RouteCommands:
    """The route table, which is replaced as a whole."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def put(self, file: str) -> None:
        """Put the route table in FILE into force unless a higher version already is."""
        try:
            document = Path(file).read_bytes()
        except OSError as error:
            fail(EXIT_USAGE, f"{file} can't be read: {error}")
        request = pb.PutRoutesRequest(document=document)
        reply = self._session.call(lambda stub: stub.PutRoutes, request)
        if reply.status == pb.PutRoutesReply.INVALID:
            fail(EXIT_REFUSED, "\n".join(reply.problems))
        if reply.status != pb.PutRoutesReply.ACCEPTED:
            fail(EXIT_UNKNOWN, f"outcome unknown: {reply.message}")
        print_rows([{"version": reply.version}], self._session.options.output)

    def show(self) -> None:
        """Print the document in force as it was submitted."""
        reply = self._session.call(lambda stub: stub.GetRoutes, pb.GetRoutesRequest())
        sys.stdout.write(reply.document.decode())

    def status(self) -> None:
        """Show the route table's version and the evacuated zones."""
        reply = self._session.call(lambda stub: stub.GetRoutes, pb.GetRoutesRequest())
        row = {
            "version": reply.version,
            "revision": reply.revision,
            "evacuated_zones": ",".join(reply.evacuated_zones),
        }
        print_rows([row], self._session.options.output)


class ZoneCommands:
    """Evacuation of availability zones, whose upstreams then get no requests."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def evacuate(self, zone: str) -> None:
        """Stop sending requests to a zone's upstreams."""
        self._set(str(zone), True)

    def take_back(self, zone: str) -> None:
        """End a zone's evacuation."""
        self._set(str(zone), False)

    def _set(self, zone: str, evacuated: bool) -> None:
        request = pb.EvacuateRequest(zone=zone, evacuated=evacuated)
        reply = self._session.call(lambda stub: stub.Evacuate, request)
        if not reply.accepted:
            fail(EXIT_UNKNOWN, f"outcome unknown: {reply.message}")
        row = {"zone": zone, "evacuated": evacuated}
        print_rows([row], self._session.options.output)
