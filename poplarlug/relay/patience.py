"""How long the caller of a request waits for its response."""

from poplarlug.relay.engine_model import DECODE_SECONDS_PER_TOKEN
from poplarlug.relay.requests import RelayRequest
from poplarlug.types import Seconds

MAX_DECODE_SHARE = 0.2
"""Largest share of a route's timeout that is reserved for the response after its first
event."""

MIN_PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
"""Callers abandon a silent stream after the longest of these: a fixed time, a multiple of
the objective, a multiple of the longest pause; according to the users' deployments."""


def latest_response_start(request: RelayRequest) -> Seconds:
    """
    Return the event loop time after which the start of a response is useless.

    The rest of the response would come after the deadline, or the caller of a stream
    would have left by then, as it has waited too long for the next event.
    """
    latest = request.deadline - decode_seconds(request)
    route = request.route
    if route.kind != "streaming":
        return latest
    patience = max(
        MIN_PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * route.objective_seconds,
        PATIENCE_PAUSES * route.max_pause_seconds,
    )
    silent_since = request.arrived
    if request.broke_off_at is not None:
        silent_since = request.broke_off_at
    return min(latest, silent_since + patience)


def decode_seconds(request: RelayRequest) -> Seconds:
    """
    Return how long a request's response takes after its first event.

    Callers allow for more tokens than most responses have, so the maximum says little;
    the result is capped at a share of the route's timeout.
    """
    if not request.route.prompts:
        return 0.0
    longest = request.prompt.max_tokens * DECODE_SECONDS_PER_TOKEN
    return min(longest, MAX_DECODE_SHARE * request.route.timeout_seconds)
