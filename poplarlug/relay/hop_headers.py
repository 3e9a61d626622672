"""Hop-by-hop headers, and the headers that entries exchange with each other."""

from collections.abc import Iterable, Mapping

from poplarlug.errors import GatewayError
from poplarlug.types import UpstreamId

HOPS = "X-Relay-Hops"
ORIGIN = "X-Relay-Origin"
TABLE_VERSION = "X-Relay-Table"
PATIENCE = "X-Relay-Patience-Ms"
"""Time that the forwarding entry waits for the first response before it retries."""

SOFTWARE_VERSION = "X-Relay-Software-Version"
"""In a request the version that it requires, in a response the one that ran it."""

UPSTREAM = "X-Relay-Upstream"
"""In the response with a stream: the upstream that runs it."""

TRIED = "X-Relay-Tried"
"""In a request, one for each upstream that must not run it again; in its refusal, one
for each that got it."""

MAX_TRIED = 64
"""Upstreams that a refusal names; limits the size of its head."""

REFUSED = "X-Relay-Refused"
"""Marks an error of the serving entry itself: status, type, ran, Retry-After."""

_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
_BETWEEN_ENTRIES = frozenset(
    name.lower()
    for name in (
        HOPS,
        ORIGIN,
        TABLE_VERSION,
        PATIENCE,
        SOFTWARE_VERSION,
        UPSTREAM,
        TRIED,
        REFUSED,
    )
)
_RAN_BY_TEXT = {"yes": True, "no": False, "unknown": None}
_TEXT_BY_RAN = {ran: text for text, ran in _RAN_BY_TEXT.items()}


def end_to_end(
    headers: Mapping[str, str], dropped: Iterable[str] = ()
) -> tuple[tuple[str, str], ...]:
    """
    Return the end-to-end headers, without hop-by-hop and inter-entry headers.

    Parameters
    ----------
    dropped : iterable of str
        Lower-case names of further headers to remove.
    """
    named = headers.get("Connection", "")
    of_connection = {name.strip().lower() for name in named.split(",")}
    left_out = _CONNECTION_HEADERS | _BETWEEN_ENTRIES | of_connection | set(dropped)
    return tuple(
        (name, value) for name, value in headers.items() if name.lower() not in left_out
    )


def tried_headers(upstreams: Iterable[UpstreamId]) -> list[tuple[str, str]]:
    """Return the headers of a refusal to an entry that name who got the request."""
    return [(TRIED, upstream) for upstream in sorted(upstreams)[:MAX_TRIED]]


def encode_refusal(error: GatewayError) -> str:
    """Encode an entry's own error response as the value of :data:`REFUSED`."""
    after = "" if error.retry_after_seconds is None else error.retry_after_seconds
    return f"{error.status};{error.type};{_TEXT_BY_RAN[error.ran]};{after}"


def decode_refusal(value: str, message: str) -> GatewayError | None:
    """Decode the value written by :func:`encode_refusal`; ``None`` if malformed."""
    parts = value.split(";")
    if len(parts) != 4 or parts[2] not in _RAN_BY_TEXT or not parts[0].isdecimal():
        return None
    try:
        after = float(parts[3]) if parts[3] else None
    except ValueError:
        return None
    return GatewayError(int(parts[0]), parts[1], message, _RAN_BY_TEXT[parts[2]], after)
