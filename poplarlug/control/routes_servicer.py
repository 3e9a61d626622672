"""gRPC calls of operators about routes and evacuated zones."""

from typing import Any

import grpc
from returns.result import Failure

from poplarlug.control.group_servicer import GroupServicer
from poplarlug.control.routing_service import RoutingService
from poplarlug.routes.documents import decode_route_table
from poplarlug.schema import operators_pb2 as pb


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
        decoded = decode_route_table(request.document)
        if isinstance(decoded, Failure):
            problems = [str(problem) for problem in decoded.failure()]
            return pb.PutRoutesReply(
                status=pb.PutRoutesReply.INVALID, problems=problems
            )
        table = decoded.unwrap()
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
