"""Key files of poplarlug's processes, and keys of callers and operators."""

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
    Generate a CURVE key pair for each name in ``names``.

    Secret keys are written to ``folder/secret``, public keys to ``folder/public``,
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
    Return why ``path`` is not suitable as a secret key file.

    Returns
    -------
    str
        The problem and what to do; empty if the file is accessible only by its
        owner.
    """
    try:
        mode = path.stat().st_mode
    except OSError as error:
        return f"can't be read: {error.strerror}"
    if not stat.S_ISREG(mode):
        return "is not a regular file; name the file that contains the secret"
    if mode & GROUP_AND_OTHER_MODE_BITS:
        return f"is open to others (mode {mode & 0o777:o}); run: chmod 600 {path}"
    return ""


def generate_caller_key() -> str:
    """Return a new random key for a caller or an operator."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_caller_key(key: str) -> str:
    """Return the SHA-256 of ``key`` in hex; long random keys need no slow hash."""
    # Header bytes above 0x7f are decoded as surrogates.
    return hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest()
