"""gRPC calls of operators about the control replicas."""

from typing import Any

from poplarlug.control.control_group import ControlGroup
from poplarlug.schema import operators_pb2 as pb
from poplarlug.schema.operators_pb2_grpc import OperatorsServicer


class GroupServicer(OperatorsServicer):  # type: ignore[misc]
    """Serve status and membership changes of the control group."""

    def __init__(self, *, group: ControlGroup) -> None:
        self._group = group

    async def ControlStatus(self, request: Any, context: Any) -> Any:  # noqa: N802
        status = await self._group.status()
        reply = pb.ControlStatusReply(leader=status.leader or "")
        for replica in status.replicas:
            reply.replicas.append(pb.ReplicaState(**replica._asdict()))
        return reply

    async def ChangeReplica(self, request: Any, context: Any) -> Any:  # noqa: N802
        outcome = await self._group.change_replica(request.action, request.replica)
        return pb.ReplicaReply(accepted=outcome.accepted, message=outcome.message)
