"""Commands for the replicas of the control group."""

from poplarlug.operators.output import print_rows
from poplarlug.operators.session import EXIT_REFUSED, Session, fail
from poplarlug.schema import operators_pb2 as pb


class ControlCommands:
    """The replicas of the control group."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def status(self) -> None:
        """Show each replica's role, membership and log position."""
        request = pb.ControlStatusRequest()
        reply = self._session.call(lambda stub: stub.ControlStatus, request)
        rows = [
            {
                "name": replica.name,
                "role": replica.role,
                "membership": replica.membership,
                "term": replica.term,
                "last_index": replica.last_index,
                "committed_index": replica.committed_index,
                "incarnation": replica.incarnation,
            }
            for replica in reply.replicas
        ]
        print_rows(rows, self._session.options.output)

    def add(self, replica: str) -> None:
        """Add a new, empty replica that the topology file lists."""
        self._change("add", str(replica))

    def remove(self, replica: str) -> None:
        """Remove a replica that is not expected to return."""
        self._change("remove", str(replica))

    def _change(self, action: str, name: str) -> None:
        request = pb.ReplicaRequest(action=action, replica=name)
        reply = self._session.call(lambda stub: stub.ChangeReplica, request)
        row = {"name": name, "accepted": reply.accepted, "message": reply.message}
        print_rows([row], self._session.options.output)
        if not reply.accepted:
            fail(EXIT_REFUSED, reply.message)
