"""Which account a caller's key belongs to."""

from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from poplarlug.catalog import Account, Catalog
from poplarlug.errors import GatewayError, not_run, unknown_key
from poplarlug.keys import hash_caller_key

RETRY_SECONDS = 1.0
"""A started entry knows the newest keys within about this time."""


class Authenticator:
    """
    Find the accounts of callers' keys.

    Parameters
    ----------
    knows_newest : callable
        Returns whether ``catalog`` is known to be the newest one in reach. Before
        that a withdrawn key may stand in it, and a new one may be missing.
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
