"""gRPC service of a control replica for operators."""

import asyncio
import hmac
import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, cast, get_args

import grpc
from returns.result import Failure, Result

from poplarlug.catalog import Change, ChangeOutcome, ChangeStatus, Kind
from poplarlug.catalog.catalog import encode_object
from poplarlug.control.commands import encode_command
from poplarlug.control.config_status import ConfigStatus
from poplarlug.control.control_group import ControlGroup
from poplarlug.control.conversion import from_message, to_message
from poplarlug.control.orders import (
    OrderAction,
    OrderOutcome,
    OrderRequest,
    OrderStatus,
)
from poplarlug.control.reading import LinearizableReader
from poplarlug.control.replicated_log import ProposeError, ProposeErrorKind
from poplarlug.control.routes_servicer import RoutesServicer
from poplarlug.control.routing_service import RoutingService
from poplarlug.control.state import ControlState
from poplarlug.control.upstream_directory import UpstreamDirectory
from poplarlug.keys import hash_caller_key
from poplarlug.logs import ComponentLogger
from poplarlug.membership.upstreams import Announcement
from poplarlug.schema import operators_pb2 as pb
from poplarlug.types import RegionName, VmName, ZoneName

MAX_LISTED = 2000

_STATUS_BY_OUTCOME = {
    ChangeStatus.ACCEPTED: pb.ChangeReply.ACCEPTED,
    ChangeStatus.CONFLICT: pb.ChangeReply.CONFLICT,
    ChangeStatus.INVALID: pb.ChangeReply.INVALID,
    ChangeStatus.UNKNOWN: pb.ChangeReply.UNKNOWN,
}
_STATUS_BY_ORDER_STATUS = {
    OrderStatus.ISSUED: pb.OrderReply.UNKNOWN,
    OrderStatus.UNKNOWN: pb.OrderReply.UNKNOWN,
    OrderStatus.DONE: pb.OrderReply.DONE,
    OrderStatus.REFUSED: pb.OrderReply.REFUSED,
}

Propose = Callable[[bytes], Awaitable[Result[ChangeOutcome, ProposeError]]]
Order = Callable[[OrderRequest], Awaitable[Result[OrderOutcome, str]]]

_log = ComponentLogger(prefix="operators")


class OperatorService(RoutesServicer):
    """
    Serve operators' calls from the replicated state.

    Parameters
    ----------
    propose : callable
        Proposes a command at the leader and returns its outcome.
    order : callable
        Executes an order at the leader and returns its outcome.
    """

    def __init__(
        self,
        *,
        name: VmName,
        state: ControlState,
        propose: Propose,
        order: Order,
        leader: Callable[[], VmName | None],
        reader: LinearizableReader,
        status: ConfigStatus,
        directory: UpstreamDirectory,
        group: ControlGroup,
        routing: RoutingService,
    ) -> None:
        super().__init__(group=group, routing=routing)
        self._name = name
        self._state = state
        self._propose = propose
        self._order = order
        self._leader = leader
        self._reader = reader
        self._status = status
        self._directory = directory

    async def Change(self, request: Any, context: Any) -> Any:  # noqa: N802
        change = _to_change(request)
        if change is None:
            return pb.ChangeReply(
                status=pb.ChangeReply.INVALID,
                message="got no object or no change_id, expected both",
            )
        result = await self._propose(encode_command(change))
        if isinstance(result, Failure):
            error = result.failure()
            if error.kind is ProposeErrorKind.NOT_LEADER:
                await context.abort(grpc.StatusCode.UNAVAILABLE, error.message)
            return pb.ChangeReply(
                status=pb.ChangeReply.UNKNOWN,
                message=f"{error.message}; resend the same change_id",
            )
        outcome = result.unwrap()
        _log.info(
            "change decided",
            kind=change.kind,
            name=change.name,
            status=outcome.status.value,
            version=outcome.version,
        )
        reply = pb.ChangeReply(
            status=_STATUS_BY_OUTCOME[outcome.status],
            version=outcome.version,
            message=outcome.message,
        )
        if outcome.status is ChangeStatus.ACCEPTED and request.wait_seconds > 0:
            await self._wait_in_force(reply, request.wait_seconds)
        return reply

    async def _wait_in_force(self, reply: Any, wait_seconds: float) -> None:
        wait = wait_seconds if math.isfinite(wait_seconds) else 0.0
        answer = await self._status.wait_in_force(reply.version, wait)
        if isinstance(answer, Failure):
            reply.message = f"accepted; where it is in force: {answer.failure()}"
            return
        in_force = answer.unwrap()
        reply.zones_in_force.extend(in_force.zones)
        reply.zones_not_reached.extend(in_force.zones_not_reached)
        reply.vms_not_reached.extend(in_force.vms_not_reached)

    async def List(self, request: Any, context: Any) -> Any:  # noqa: N802
        if request.kind not in get_args(Kind):
            kinds = ", ".join(get_args(Kind))
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                f"got kind {request.kind!r}, expected one of {kinds}",
            )
        if not request.may_be_old:
            current = await self._reader.wait()
            if isinstance(current, Failure):
                await context.abort(grpc.StatusCode.UNAVAILABLE, current.failure())
        return self._list(request)

    def _list(self, request: Any) -> Any:
        catalog = self._state.catalog
        names = [request.name] if request.name else catalog.names(request.kind)
        names = [name for name in names if name > request.after_name]
        limit = min(request.limit or MAX_LISTED, MAX_LISTED)
        reply = pb.ListReply(version=catalog.version, has_more=len(names) > limit)
        for name in names[:limit]:
            value = catalog.get(request.kind, name)
            if value is not None:
                version = catalog.object_version(request.kind, name)
                reply.objects.append(to_message(request.kind, value, version))
        return reply

    async def ConfigStatus(self, request: Any, context: Any) -> Any:  # noqa: N802
        catalog = self._state.catalog
        answer = await self._status.vm_versions()
        reply = pb.ConfigStatusReply(
            version=catalog.version,
            state_hash=catalog.state_hash(),
            leader=self._leader() or "",
            replica=self._name,
        )
        if isinstance(answer, Failure):
            reply.message = answer.failure()
            return reply
        for held in answer.unwrap().versions:
            reply.vms.append(pb.VmConfig(**held._asdict()))
        return reply

    async def Order(self, request: Any, context: Any) -> Any:  # noqa: N802
        if request.action not in get_args(OrderAction) or not request.order_id:
            actions = ", ".join(get_args(OrderAction))
            return pb.OrderReply(
                status=pb.OrderReply.REFUSED,
                message=f"got action {request.action!r} and order_id "
                f"{request.order_id!r}, expected one of {actions} and an id",
            )
        order = OrderRequest(
            request.order_id,
            request.zone,
            request.upstream_id,
            cast(OrderAction, request.action),
            request.model,
            request.argument,
        )
        result = await self._order(order)
        if isinstance(result, Failure):
            return pb.OrderReply(status=pb.OrderReply.UNKNOWN, message=result.failure())
        outcome = result.unwrap()
        return pb.OrderReply(
            status=_STATUS_BY_ORDER_STATUS[outcome.status],
            fencing_number=str(outcome.fencing),
            message=outcome.message,
        )

    async def Upstreams(self, request: Any, context: Any) -> Any:  # noqa: N802
        regions_by_zone = self._directory.regions_by_zone
        zones = [request.zone] if request.zone else list(regions_by_zone)
        listed = await asyncio.gather(*(self._directory.list_zone(z) for z in zones))
        reply = pb.UpstreamsReply()
        for zone, result in zip(zones, listed, strict=True):
            if isinstance(result, Failure):
                reply.zones_not_reached.append(zone)
                continue
            region = regions_by_zone.get(zone, "")
            for announcement in result.unwrap():
                reply.upstreams.append(_to_upstream(announcement, zone, region))
        return reply


class OperatorAuthentication(grpc.aio.ServerInterceptor):  # type: ignore[misc]
    """Reject calls without a valid operator's key."""

    def __init__(self, *, key_hashes: Iterable[str]) -> None:
        self._key_hashes = tuple(key_hashes)

    async def intercept_service(self, continuation: Any, details: Any) -> Any:
        metadata = dict(details.invocation_metadata)
        scheme, _, key = str(metadata.get("authorization", "")).partition(" ")
        given = hash_caller_key(key)
        known = any(hmac.compare_digest(given, held) for held in self._key_hashes)
        if scheme == "Bearer" and known:
            return await continuation(details)
        return grpc.unary_unary_rpc_method_handler(_refuse)


async def _refuse(request: Any, context: Any) -> Any:
    await context.abort(
        grpc.StatusCode.UNAUTHENTICATED, "the call carries no operator's key"
    )


def _to_change(request: Any) -> Change | None:
    parsed = from_message(request.object)
    if parsed is None or not request.change_id:
        return None
    kind, value = parsed
    data = None if request.delete else encode_object(value)
    return Change(request.change_id, kind, value.name, request.expected_version, data)


def _to_upstream(announcement: Announcement, zone: ZoneName, region: RegionName) -> Any:
    return pb.UpstreamState(
        id=announcement.id,
        kind=announcement.kind,
        zone=zone,
        region=region,
        address=announcement.address,
        state=announcement.state,
        models=announcement.models,
        services=announcement.services,
        running=announcement.running,
        queued=announcement.queued,
    )
