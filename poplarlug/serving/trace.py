"""Per-request trace, collected while an entry serves the request."""

from contextvars import ContextVar, Token

from poplarlug.errors import GatewayError
from poplarlug.serving.answers import AnswerHead
from poplarlug.serving.requests import GatewayRequest
from poplarlug.types import AccountName, RequestId, Seconds


class RequestTrace:
    """
    Properties of one request, set by the components that handle it.

    Parameters
    ----------
    started_at : float
        Loop time in seconds at which the request arrived.

    Attributes
    ----------
    first_byte_at : float or None
        Loop time in seconds at which the sink took the first byte of the body.
    bytes : int
        Bytes of the body that the sink took so far.
    attempts : int
        Number of attempts at upstreams of this entry's zone.
    forwarded : bool
        Whether the request was sent to another entry.
    abandoned : bool
        Whether the caller disconnected before it had the whole answer.
    """

    def __init__(self, *, request_id: RequestId, started_at: Seconds) -> None:
        self.request_id = request_id
        self.started_at = started_at
        self.account: AccountName = ""
        self.request: GatewayRequest | None = None
        self.head: AnswerHead | None = None
        self.error: GatewayError | None = None
        self.first_byte_at: Seconds | None = None
        self.bytes = 0
        self.attempts = 0
        self.forwarded = False
        self.abandoned = False


_trace: ContextVar[RequestTrace | None] = ContextVar("trace", default=None)


def current_trace() -> RequestTrace:
    """Return the trace of the request that the current task serves."""
    trace = _trace.get()
    if trace is None:
        trace = RequestTrace(request_id="", started_at=0.0)
        _trace.set(trace)
    return trace


def set_trace(trace: RequestTrace) -> Token[RequestTrace | None]:
    """Set the current task's trace; undo with :func:`reset_trace`."""
    return _trace.set(trace)


def reset_trace(token: Token[RequestTrace | None]) -> None:
    _trace.reset(token)
