"""Key files of the system's processes and keys of callers and operators."""

import hashlib
import secrets
from collections.abc import Iterable
from pathlib import Path

import zmq.auth

KEY_BYTES = 24


def generate_key_files(folder: Path, names: Iterable[str]) -> None:
    """
    Write a CURVE key pair for each name below ``folder``.

    Secret keys go to ``folder/secret``, public ones to ``folder/public``,
    which every process reads. Existing pairs are kept.
    """
    secret = folder / "secret"
    public = folder / "public"
    secret.mkdir(parents=True, exist_ok=True, mode=0o700)
    public.mkdir(parents=True, exist_ok=True)
    for name in names:
        if (secret / f"{name}.key_secret").exists():
            continue
        public_file, secret_file = zmq.auth.create_certificates(str(secret), name)
        Path(secret_file).chmod(0o600)
        Path(public_file).rename(public / f"{name}.key")


def generate_caller_key() -> str:
    """Return a new random key for a caller or an operator."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_caller_key(key: str) -> str:
    """Return the SHA-256 of ``key`` in hex; keys are long and random."""
    # A header's bytes above 0x7f arrive as surrogates.
    return hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest()
