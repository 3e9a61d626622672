"""Contents of the answers of a fake upstream."""

from aiohttp import web

from poplarlug.relay.events import LAST_EVENT_HEADER


def encode_event(number: int, data: str) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, data.encode())


def plain_parts(body: bytes) -> tuple[bytes, ...]:
    return b"answer ", b"to ", body


def is_stream(request: web.Request) -> bool:
    return "/stream/" in request.path or "/resume/" in request.path


def unframed_head(request: web.Request, headers: dict[str, str]) -> bytes:
    """Return the head of an answer whose end is that of the connection."""
    content_type = "text/event-stream" if is_stream(request) else "text/plain"
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = ["HTTP/1.1 200 OK", f"Content-Type: {content_type}", *lines, "", ""]
    return "\r\n".join(head).encode()


def first_event(request: web.Request) -> int:
    """Return the number of the first event requested by a client."""
    last = request.headers.get(LAST_EVENT_HEADER, "")
    return int(last) + 1 if last.isascii() and last.isdecimal() else 0
