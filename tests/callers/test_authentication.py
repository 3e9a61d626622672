"""Tests of callers' keys."""

from unittest import TestCase

from poplarlug.callers.authentication import Authenticator
from poplarlug.catalog import Catalog


class AuthenticatorTests(TestCase):
    # Guards against revoked keys that an entry accepted again after its restart, as
    # its catalog was not current yet.
    def test_no_key_is_judged_before_the_catalog_is_current(self) -> None:
        """Until the catalog is current, a key is neither accepted nor rejected."""
        for is_current, status in ((False, 503), (True, 401)):
            with self.subTest(is_current=is_current):
                authenticator = Authenticator(
                    catalog=Catalog(),
                    is_catalog_current=lambda is_current=is_current: is_current,
                )
                headers = {"Authorization": "Bearer some-key"}
                error = authenticator.authenticate(headers).failure()
                self.assertEqual(error.status, status)
