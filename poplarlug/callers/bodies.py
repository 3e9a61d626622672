"""Tells whether a request shows where its body ends."""

from aiohttp import web
from aiohttp.http import HttpVersion11

_METHODS_WITH_BODY = ("POST", "PUT", "PATCH")


def lacks_length(request: web.BaseRequest) -> bool:
    """
    Return whether the body of a request may follow without a length.

    HTTP/1.0 requires a length with a body; without one, the body reads as empty. A
    request of HTTP/1.1 with neither a length nor chunks has no body.
    """
    return (
        request.version < HttpVersion11
        and request.method in _METHODS_WITH_BODY
        and not request.headers.keys() & {"Content-Length", "Transfer-Encoding"}
    )
