"""Checks of addresses that come from outside."""

import ipaddress

from poplarlug.types import Address

MAX_PORT = 65535


def is_address(address: Address) -> bool:
    """Return whether an address is an IP and a port, as ``10.0.0.1:7660``."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:9]) <= MAX_PORT
