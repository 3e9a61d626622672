"""Maps a caller's key to its account."""

from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from poplarlug.catalog import Account, Catalog
from poplarlug.errors import GatewayError, not_run, unknown_key
from poplarlug.keys import hash_caller_key

RETRY_SECONDS = 1.0
"""Roughly how long an entry takes after its start to learn the newest keys."""


class Authenticator:
    """
    Look up the accounts of callers' keys.

    Parameters
    ----------
    is_catalog_current : callable
        Returns whether ``catalog`` is known to be the newest one reachable. Until
        then, it may still contain a revoked key or lack a new one.
    """

    def __init__(
        self, *, catalog: Catalog, is_catalog_current: Callable[[], bool]
    ) -> None:
        self._catalog = catalog
        self._is_catalog_current = is_catalog_current

    def authenticate(self, headers: Mapping[str, str]) -> Result[Account, GatewayError]:
        """Return the account of the key in ``Authorization: Bearer KEY``."""
        if not self._is_catalog_current():
            message = "This entry has just started; ask another."
            return Failure(not_run(message, RETRY_SECONDS))
        scheme, _, key = headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer" or not key:
            return Failure(unknown_key())
        account = self._catalog.account_by_key_hash(hash_caller_key(key))
        return Success(account) if account is not None else Failure(unknown_key())
