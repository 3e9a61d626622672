"""Tells whether the end of an answer's bytes shows that the answer is whole."""

from enum import Enum

import aiohttp


class Framing(Enum):
    """What tells where the body of an answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """Neither of them: the body lasts until the connection ends."""


def framing_of(response: aiohttp.ClientResponse, method: str) -> Framing:
    """Return how the body of an answer to a request of ``method`` is framed."""
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    has_no_body = method == "HEAD" or response.status in (204, 304)
    if has_no_body or response.content_length is not None:
        return Framing.LENGTH
    return Framing.CONNECTION
