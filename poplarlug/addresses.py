"""Validation of addresses from external input."""

import ipaddress

from poplarlug.types import Address

MAX_PORT = 65535


def is_address(address: Address) -> bool:
    """Return whether an address is an IP address and a port: ``10.0.0.1:7660``."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:9]) <= MAX_PORT
