"""Hash that identifies sends of the same request to upstreams."""

import xxhash

from poplarlug.relay.requests import RelayRequest
from poplarlug.types import Fingerprint

ACCOUNT_HEADER = "authorization"
"""Identifies the caller if callers use keys."""


def fingerprint_of(request: RelayRequest) -> Fingerprint:
    """
    Return the hash of a request's method, host, path, caller and body.

    The request id and the last event id differ between retries and are left out.
    Without a key, callers that send the same content share a fingerprint, because an
    upstream crash depends on the content that it reads.
    """
    account = next(
        (value for name, value in request.headers if name.lower() == ACCOUNT_HEADER),
        "",
    )
    head = "\0".join((request.method, request.route.host, request.path, account, ""))
    hashed = xxhash.xxh3_64(head.encode("utf-8", "surrogateescape"))
    hashed.update(request.body)
    return hashed.intdigest()
