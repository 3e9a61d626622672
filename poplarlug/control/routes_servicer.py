"""gRPC calls of operators about routes and evacuated zones."""

from typing import Any

import grpc
import json5
from returns.result import Failure, Success

from poplarlug.control.group_servicer import GroupServicer
from poplarlug.control.routing_service import RoutingService
from poplarlug.routes import RouteTable, check_route_table
from poplarlug.schema import operators_pb2 as pb
from poplarlug.settings import check_settings


class RoutesServicer(GroupServicer):
    """
    Serve the route table and evacuations, in addition to the calls of the base class.

    Parameters
    ----------
    routing : RoutingService
        Proposes changes to the log and reads the state.
    """

    def __init__(self, *, routing: RoutingService, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._routing = routing

    async def PutRoutes(self, request: Any, context: Any) -> Any:  # noqa: N802
        table, problems = parse_route_table(request.document)
        if table is None:
            return pb.PutRoutesReply(
                status=pb.PutRoutesReply.INVALID, problems=problems
            )
        changed = await self._routing.put_table(table, request.document)
        if isinstance(changed, Failure):
            message = f"{changed.failure()}; put the same table again"
            return pb.PutRoutesReply(message=message)
        return pb.PutRoutesReply(
            status=pb.PutRoutesReply.ACCEPTED, version=changed.unwrap()
        )

    async def GetRoutes(self, request: Any, context: Any) -> Any:  # noqa: N802
        read = await self._routing.read()
        if isinstance(read, Failure):
            await context.abort(grpc.StatusCode.UNAVAILABLE, read.failure())
        image = read.unwrap()
        return pb.GetRoutesReply(
            version=self._routing.version,
            document=image.source,
            evacuated_zones=image.evacuated_zones,
            revision=image.revision,
        )

    async def Evacuate(self, request: Any, context: Any) -> Any:  # noqa: N802
        if not request.zone:
            return pb.EvacuateReply(message="got no zone, expected one")
        changed = await self._routing.evacuate(
            request.zone, request.evacuated, is_awaited=lambda: not context.done()
        )
        if isinstance(changed, Failure):
            message = f"{changed.failure()}; ask again"
            return pb.EvacuateReply(message=message)
        return pb.EvacuateReply(accepted=True)


def parse_route_table(document: bytes) -> tuple[RouteTable | None, list[str]]:
    """Return the route table in a JSON5 document, or ``None`` and its problems."""
    try:
        tree = json5.loads(document.decode())
    except (ValueError, RecursionError) as error:
        return None, [f"$: can't be read: {error}"]
    checked = check_settings(tree, RouteTable)
    if not isinstance(checked, Success):
        return None, [str(error) for error in checked.failure()]
    table = checked.unwrap()
    problems = [str(problem) for problem in check_route_table(table)]
    return (None, problems) if problems else (table, [])
