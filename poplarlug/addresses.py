"""Validation of addresses from external input."""

import ipaddress
import re

from poplarlug.types import Address

MAX_PORT = 65535

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_ADDRESS = re.compile(
    rf"(?:{_OCTET}(?:\.{_OCTET}){{3}}|\[(?P<ipv6>[0-9a-fA-F:.]+)\])"
    r":(?P<port>[0-9]{1,5})"
)


def is_address(address: Address) -> bool:
    """Return whether an address is ``10.0.0.1:7660`` or ``[fd00::1]:7660``."""
    match = _ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        return False
    # The pattern suffices for IPv4; parsing the address of each announcement is slow.
    return match["ipv6"] is None or _is_ipv6(match["ipv6"])


def _is_ipv6(host: str) -> bool:
    try:
        ipaddress.IPv6Address(host)
    except ValueError:
        return False
    return True
