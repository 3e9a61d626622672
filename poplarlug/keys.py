"""Key files of the system's processes and keys of callers and operators."""

import hashlib
import secrets
import stat
from collections.abc import Iterable
from pathlib import Path

import zmq.auth

KEY_BYTES = 24
GROUP_AND_OTHER_MODE_BITS = 0o077


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


def check_secret_file(path: Path) -> str:
    """
    Return what speaks against ``path`` as the file of a secret.

    Returns
    -------
    str
        What was got and what to do; empty when the file is readable by its
        owner alone.
    """
    try:
        mode = path.stat().st_mode
    except OSError as error:
        return f"can't be read: {error.strerror}"
    if not stat.S_ISREG(mode):
        return "is no file; name the file that holds the secret"
    if mode & GROUP_AND_OTHER_MODE_BITS:
        return f"is open to others (mode {mode & 0o777:o}); run: chmod 600 {path}"
    return ""


def generate_caller_key() -> str:
    """Return a new random key for a caller or an operator."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_caller_key(key: str) -> str:
    """Return the SHA-256 of ``key`` in hex; keys are long and random."""
    # A header's bytes above 0x7f arrive as surrogates.
    return hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest()
