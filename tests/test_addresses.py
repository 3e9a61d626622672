"""Tests of the validation of addresses."""

from unittest import TestCase

from poplarlug.addresses import is_address

VALID = ("10.0.0.1:1", "127.0.0.1:65535", "[::1]:80", "[fd00::9:1]:8080")
INVALID = (
    "",
    ":80",
    "host:80",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:+1",
    "10.0.0.1: 80",
    "10.0.0.1:80\n",
    "10.0.0.1:65536",
    "10.0.0.1:0000000080999",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:٣",
    "10.0.0.256:80",
    "10.0.0.01:80",
    "[10.0.0.1]:80",
    "]10.0.0.1[:80",
    "::1:80",
    "[::1:80",
    "[fe80::1%eth0]:80",
    "fe80::1%\x00:80",
)


class AddressTests(TestCase):
    def test_ip_addresses_with_ports_are_valid(self) -> None:
        """IPv6 addresses stand in brackets, as in a URL."""
        for address in VALID:
            with self.subTest(address=address):
                self.assertTrue(is_address(address))

    # Guards against requests to port 80999, which was taken for port 8.
    def test_anything_else_is_invalid(self) -> None:
        """Ports are in range whatever their number of digits."""
        for address in INVALID:
            with self.subTest(address=address[:40]):
                self.assertFalse(is_address(address))
