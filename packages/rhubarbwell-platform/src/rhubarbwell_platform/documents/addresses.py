"""Reading of IP numbers and blocks of them."""

from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from rhubarbwell_platform.documents.fields import FieldReader

__all__ = ["parse_cidr_block", "read_ip"]


def read_ip(fields: FieldReader, name: str) -> str:
    """Return an IP number in its shortest form."""
    text = fields.text(name)
    try:
        return str(ip_address(text))
    except ValueError:
        if text:
            fields.add_finding(name, f"{text!r} is no IP number")
        return text


def parse_cidr_block(text: str) -> IPv4Network | IPv6Network:
    """Return a block of addresses in CIDR form.

    Raises ValueError for a malformed block and for one with host bits set.

    >>> parse_cidr_block("10.1.2.3/8")
    Traceback (most recent call last):
    ValueError: '10.1.2.3/8' is not exact; the block is '10.0.0.0/8'
    """
    try:
        network = ip_network(text, strict=False)
    except ValueError:
        raise ValueError(f"{text!r} is no block of addresses in CIDR form") from None
    if "/" not in text:
        raise ValueError(f"{text!r} needs a prefix length")
    if str(network) != text:
        raise ValueError(f"{text!r} is not exact; the block is {str(network)!r}")
    return network
