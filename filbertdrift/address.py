"""Addresses of processes: an IP number and a port."""

import ipaddress

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def has_valid_port(address: str) -> bool:
    """Return whether an address ends with a port that can be connected to."""
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdecimal()
    if not host or not is_number or len(port) > MAX_PORT_DIGITS:
        return False
    return 0 < int(port) <= MAX_PORT


def is_ip_address(address: str) -> bool:
    """Return whether an address consists of an IPv4 number and a port."""
    try:
        ipaddress.IPv4Address(address.rpartition(':')[0])
    except ValueError:
        return False
    return has_valid_port(address)
