"""Digests of callers' keys."""

import hashlib

from poplarlug.teams.objects import KeyDigest


def digest_of_key(key: str) -> KeyDigest:
    """Return the digest under which a key is stored and looked up."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
