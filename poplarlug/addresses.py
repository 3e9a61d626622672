"""Validation of addresses from external input."""

import ipaddress
import re

from poplarlug.types import Address

MAX_PORT = 65535

_ADDRESS = re.compile(
    r"(?:\[(?P<ipv6>[0-9a-fA-F:.]+)\]|(?P<ipv4>[0-9.]+)):([0-9]{1,5})"
)


def is_address(address: Address) -> bool:
    """Return whether an address is ``10.0.0.1:7660`` or ``[fd00::1]:7660``."""
    match = _ADDRESS.fullmatch(address)
    if match is None:
        return False
    try:
        if match["ipv4"] is None:
            ipaddress.IPv6Address(match["ipv6"])
        else:
            ipaddress.IPv4Address(match["ipv4"])
    except ValueError:
        return False
    return 0 < int(match[3]) <= MAX_PORT
