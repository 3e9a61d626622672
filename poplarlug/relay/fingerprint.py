"""Hashes that identify sends of the same request, and of the same prompt part."""

from typing import NamedTuple

import xxhash

from poplarlug.discovery.crash_marks import PART_FLAG
from poplarlug.relay.requests import Prompt, RelayRequest
from poplarlug.types import Fingerprint

ACCOUNT_HEADER = "authorization"
"""Identifies the caller if callers use keys."""


class PartKey(NamedTuple):
    """A prompt part that requests share, as it is counted in crashes."""

    fingerprint: Fingerprint
    id: str


def part_keys_of(prompt: Prompt) -> tuple[PartKey, ...]:
    """
    Return the keys of a prompt's shared parts, in prompt order.

    They depend on the model and the part alone: the same tokens crash an engine
    whatever the caller, the route or the rest of the prompt.
    """
    return tuple(
        PartKey(
            xxhash.xxh3_64_intdigest(f"{prompt.model}\0{part.id}".encode()) | PART_FLAG,
            part.id,
        )
        for part in prompt.shared_parts
    )


def fingerprint_of(request: RelayRequest) -> Fingerprint:
    """
    Return the hash of a request's method, host, path, caller and body.

    The request id and the last event id differ between retries and are left out.
    Without a key, callers that send the same content share a fingerprint, because an
    upstream crash depends on the content that it reads.
    """
    if request.team is None:
        caller = next(
            (
                value
                for name, value in request.headers
                if name.lower() == ACCOUNT_HEADER
            ),
            "",
        )
    else:
        caller = request.team.name
    head = "\0".join((request.method, request.route.host, request.path, caller, ""))
    hashed = xxhash.xxh3_64(head.encode("utf-8", "surrogateescape"))
    hashed.update(request.body)
    return hashed.intdigest() & ~PART_FLAG
