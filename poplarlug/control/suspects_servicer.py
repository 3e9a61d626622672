"""gRPC calls of operators about requests suspected of crashing upstreams."""

from typing import Any

import grpc

from poplarlug.control.routes_servicer import RoutesServicer
from poplarlug.discovery.crash_marks import (
    CRASHES_TO_SUSPECT,
    compute_verdict,
    format_fingerprint,
    parse_fingerprint,
)
from poplarlug.discovery.registrar import Registrar
from poplarlug.logs import ComponentLogger
from poplarlug.schema import operators_pb2 as pb

_log = ComponentLogger(prefix="marks")


class SuspectsServicer(RoutesServicer):
    """
    List and release suspects, in addition to the calls of the base class.

    Parameters
    ----------
    registrar : Registrar
        Holds this replica's crash marks and propagates changes to the others.
    """

    def __init__(self, *, registrar: Registrar, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._registrar = registrar

    async def GetSuspects(self, request: Any, context: Any) -> Any:  # noqa: N802
        reply = pb.GetSuspectsReply()
        marks = self._registrar.marks.active_by_fingerprint(CRASHES_TO_SUSPECT)
        for fingerprint, counted in marks.items():
            ages = [mark.age_seconds for mark in counted]
            reply.suspects.append(
                pb.Suspect(
                    fingerprint=format_fingerprint(fingerprint),
                    verdict=compute_verdict(counted).value,
                    crashes=len(counted),
                    alone=sum(mark.alone for mark in counted),
                    upstreams=[mark.run.id for mark in counted],
                    newest_seconds=min(ages),
                    oldest_seconds=max(ages),
                )
            )
        return reply

    async def ReleaseSuspect(self, request: Any, context: Any) -> Any:  # noqa: N802
        fingerprint = parse_fingerprint(request.fingerprint)
        if fingerprint is None:
            message = f"got {request.fingerprint!r}, expected a name as in the list"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, message)
        assert fingerprint is not None
        crashes = self._registrar.release(fingerprint)
        _log.warning(
            "an operator released a request",
            fingerprint=request.fingerprint,
            crashes=crashes,
        )
        return pb.ReleaseSuspectReply(crashes=crashes)
