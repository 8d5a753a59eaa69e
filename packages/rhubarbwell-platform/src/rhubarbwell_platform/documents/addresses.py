"""Parsing of IP addresses and CIDR blocks."""

from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from rhubarbwell_platform.documents.fields import FieldReader

__all__ = ["parse_cidr_block", "read_ip"]


def read_ip(fields: FieldReader, name: str) -> str:
    """Return the IP address of a field in canonical form.

    An invalid address is reported as a finding and returned unchanged.
    """
    text = fields.text(name)
    try:
        return str(ip_address(text))
    except ValueError:
        if text:
            fields.add_finding(name, f"{text!r} is not a valid IP address")
        return text


def parse_cidr_block(text: str) -> IPv4Network | IPv6Network:
    """Return the network of an address block in CIDR notation.

    Raises ValueError for a malformed block and for one that is not in canonical
    form, for example because host bits are set.

    >>> parse_cidr_block("10.1.2.3/8")
    Traceback (most recent call last):
    ValueError: '10.1.2.3/8' is not in canonical form; use '10.0.0.0/8'
    """
    try:
        network = ip_network(text, strict=False)
    except ValueError:
        raise ValueError(f"{text!r} is not an address block in CIDR notation") from None
    if "/" not in text:
        raise ValueError(f"{text!r} has no prefix length")
    if str(network) != text:
        raise ValueError(f"{text!r} is not in canonical form; use {str(network)!r}")
    return network
