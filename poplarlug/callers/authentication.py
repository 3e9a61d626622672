"""Which account a caller's key belongs to."""

from collections.abc import Mapping

from returns.result import Failure, Result, Success

from poplarlug.catalog import Account, Catalog
from poplarlug.errors import GatewayError, unknown_key
from poplarlug.keys import hash_caller_key


def authenticate(
    headers: Mapping[str, str], catalog: Catalog
) -> Result[Account, GatewayError]:
    """Return the account of the key in ``Authorization: Bearer KEY``."""
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme != "Bearer" or not key:
        return Failure(unknown_key())
    account = catalog.account_by_key_hash(hash_caller_key(key))
    return Success(account) if account is not None else Failure(unknown_key())
