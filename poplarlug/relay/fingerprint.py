"""What makes two requests the same one to an upstream."""

import xxhash

from poplarlug.relay.requests import RelayRequest
from poplarlug.types import Fingerprint

ACCOUNT_HEADER = "authorization"
"""Names the caller where callers have keys."""


def fingerprint_of(request: RelayRequest) -> Fingerprint:
    """
    Return the hash of a request's method, host, path, caller and body.

    Its id and the event after which a stream goes on differ between repeats, so they
    don't count. Where no key names the caller, all who send the same are one: what
    ends an upstream is what it reads.
    """
    account = next(
        (value for name, value in request.headers if name.lower() == ACCOUNT_HEADER),
        "",
    )
    head = "\0".join((request.method, request.route.host, request.path, account, ""))
    hashed = xxhash.xxh3_64(head.encode("utf-8", "surrogateescape"))
    hashed.update(request.body)
    return hashed.intdigest()
