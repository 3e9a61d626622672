"""Checks requests that other entries forward to this entry."""

from collections.abc import Callable

from prometheus_client import Counter

from poplarlug.errors import GatewayError, not_run
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.serving.answers import AnswerSink
from poplarlug.serving.forwarding import RequestHandler
from poplarlug.serving.requests import GatewayRequest

FORWARDING_VIOLATIONS = ("region_not_allowed", "forwarded_twice", "not_forwarded")

_refused_total = Counter(
    "poplarlug_forwards_refused_total",
    "Forwarded requests refused at the receiving entry, by error type.",
    ["error"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="entry")


class ForwardGate:
    """
    Serve forwarded requests while this entry accepts new ones.

    Requests that may not be forwarded to it are refused, with a warning in the log.

    Parameters
    ----------
    accepts : callable
        Returns whether this entry accepts new requests.
    """

    def __init__(self, *, serve: RequestHandler, accepts: Callable[[], bool]) -> None:
        self._serve = serve
        self._accepts = accepts

    async def serve(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> GatewayError | None:
        """Serve a forwarded request, and count it if it is refused."""
        failed = await self._check_and_serve(request, sink)
        if failed is not None and failed.ran is False:
            _refused_total.labels(failed.type).inc()
            if failed.type in FORWARDING_VIOLATIONS:
                _log.warning(
                    "refused a forwarded request",
                    origin=request.origin,
                    account=request.account,
                    error=failed.type,
                )
        return failed

    async def _check_and_serve(
        self, request: GatewayRequest, sink: AnswerSink
    ) -> GatewayError | None:
        if not self._accepts():
            return not_run("This entry takes no requests now; ask another.", 1.0)
        if request.hops < 1:
            return GatewayError(
                400, "not_forwarded", "a forwarded request must say so; count its hops"
            )
        return await self._serve(request, sink)
