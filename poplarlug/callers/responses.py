"""HTTP error responses."""

from aiohttp import web

from poplarlug.errors import GatewayError, to_body
from poplarlug.serving.trace import current_trace


def error_response(error: GatewayError, request_id: str) -> web.Response:
    """Return the JSON response for ``error`` and record it in the trace."""
    current_trace().error = error
    headers = {"X-Request-Id": request_id}
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after_seconds)))
    return web.Response(
        status=error.status,
        body=to_body(error),
        content_type="application/json",
        headers=headers,
    )
