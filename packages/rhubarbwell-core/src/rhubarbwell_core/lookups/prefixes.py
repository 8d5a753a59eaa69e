"""Map caller addresses to sites by longest-prefix match in packed arrays."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

from rhubarbwell_core.model import ClientBlock

__all__ = ["PrefixIndex", "index_blocks"]

NO_SITE = -1


class PrefixIndex:
    """Store the sites of address ranges, IPv4 and IPv6 in separate arrays.

    >>> blocks = [ClientBlock("10.0.0.0/8", "lake"), ClientBlock("10.1.0.0/16", "sea")]
    >>> index = index_blocks(blocks)
    >>> index.site_of("10.1.2.3"), index.site_of("10.2.0.1"), index.site_of("11.0.0.1")
    ('sea', 'lake', None)
    """

    __slots__ = ("_ranges", "_sites")

    def __init__(self, sites: tuple[str, ...], ranges: "dict[int, _Ranges]") -> None:
        self._sites = sites
        self._ranges = ranges

    def site_of(self, address: str) -> str | None:
        """Return the site of the longest matching prefix, None if none matches.

        Raises ValueError for a malformed address.
        """
        parsed = ip_address(address)
        if parsed.version == 6 and parsed.ipv4_mapped is not None:
            parsed = parsed.ipv4_mapped
        site = self._ranges[parsed.version].find(int(parsed))
        return None if site == NO_SITE else self._sites[site]

    def size_bytes(self) -> int:
        """Return the size of the packed arrays in bytes."""
        return sum(ranges.size_bytes() for ranges in self._ranges.values())


class _Ranges:
    """Store the start and site of disjoint ranges, a start as two 64-bit words.

    A range ends where the next one starts.
    """

    __slots__ = ("_high", "_low", "_sites")

    def __init__(self) -> None:
        self._high = array("Q")
        self._low = array("Q")
        self._sites = array("i")

    def append(self, start: int, site: int) -> None:
        high, low = start >> 64, start & _LOW_MASK
        if self._sites and (self._high[-1], self._low[-1]) == (high, low):
            self._remove_last()
        if self._sites and self._sites[-1] == site:
            return
        self._high.append(high)
        self._low.append(low)
        self._sites.append(site)

    def _remove_last(self) -> None:
        self._high.pop()
        self._low.pop()
        self._sites.pop()

    def find(self, value: int) -> int:
        high = value >> 64
        after_high = bisect_right(self._high, high)
        first = bisect_right(self._high, high - 1) if high else 0
        next_index = bisect_right(self._low, value & _LOW_MASK, first, after_high)
        index = next_index - 1
        return self._sites[index] if index >= 0 else NO_SITE

    def size_bytes(self) -> int:
        arrays = (self._high, self._low, self._sites)
        return sum(len(column) * column.itemsize for column in arrays)


_LOW_MASK = (1 << 64) - 1
_LAST_ADDRESS = (1 << 128) - 1


def index_blocks(blocks: Iterable[ClientBlock]) -> PrefixIndex:
    """Return an index of the blocks; raise ValueError for a malformed prefix."""
    site_numbers: dict[str, int] = {}
    networks: dict[int, list[tuple[IPv4Network | IPv6Network, int]]] = {4: [], 6: []}
    for block in blocks:
        site = site_numbers.setdefault(block.site, len(site_numbers))
        network = ip_network(block.prefix)
        networks[network.version].append((network, site))
    ranges = {version: _disjoint_ranges(sited) for version, sited in networks.items()}
    return PrefixIndex(tuple(site_numbers), ranges)


def _disjoint_ranges(networks: list[tuple[IPv4Network | IPv6Network, int]]) -> _Ranges:
    """Return disjoint ranges in which the longest prefix takes precedence."""
    spans = [
        (int(net.network_address), net.prefixlen, int(net.broadcast_address), site)
        for net, site in networks
    ]
    spans.sort(key=lambda span: span[:2])
    ranges = _Ranges()
    open_spans: list[tuple[int, int]] = []
    for start, _, end, site in spans:
        _close_spans_before(start, open_spans, ranges)
        ranges.append(start, site)
        open_spans.append((end, site))
    _close_spans_before(None, open_spans, ranges)
    return ranges


def _close_spans_before(
    start: int | None, open_spans: list[tuple[int, int]], ranges: _Ranges
) -> None:
    while open_spans and (start is None or open_spans[-1][0] < start):
        end, _ = open_spans.pop()
        outer = open_spans[-1][1] if open_spans else NO_SITE
        if end < _LAST_ADDRESS:
            ranges.append(end + 1, outer)
