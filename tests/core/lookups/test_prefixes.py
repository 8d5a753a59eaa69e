"""Test longest-prefix matching of caller addresses."""

from ipaddress import ip_address, ip_network

from hypothesis import given, settings
from hypothesis import strategies as st
from rhubarbwell_core.lookups import index_blocks
from rhubarbwell_core.model import ClientBlock


def test_empty_index_finds_no_site():
    assert index_blocks(()).site_of("10.0.0.1") is None


def test_longest_prefix_wins_and_outer_block_resumes():
    blocks = [
        ClientBlock("0.0.0.0/0", "any"),
        ClientBlock("10.0.0.0/8", "ten"),
        ClientBlock("10.0.0.0/32", "host"),
        ClientBlock("10.255.255.255/32", "last"),
    ]
    index = index_blocks(blocks)
    found = [
        index.site_of(address)
        for address in ("10.0.0.0", "10.0.0.1", "10.255.255.255", "11.0.0.0")
    ]
    assert found == ["host", "ten", "last", "any"]


def test_ipv6_blocks_do_not_hide_ipv4_blocks():
    index = index_blocks([ClientBlock("::/0", "six"), ClientBlock("1.0.0.0/8", "four")])
    assert index.site_of("1.2.3.4") == "four"
    assert index.site_of("::ffff:1.2.3.4") == "four"
    assert index.site_of("2.0.0.1") is None
    assert index.site_of("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff") == "six"


_V4 = st.builds(
    lambda number, length: ip_network((number, length), strict=False),
    st.integers(0, 2**32 - 1).map(lambda n: ip_address(n)),
    st.integers(0, 32),
)
_V6 = st.builds(
    lambda number, length: ip_network((number, length), strict=False),
    st.integers(2**100, 2**128 - 1).map(lambda n: ip_address(n)),
    st.integers(0, 128),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.one_of(_V4, _V6), unique=True, max_size=12), st.data())
def test_index_agrees_with_linear_search(networks, data):
    blocks = [ClientBlock(str(net), f"s{n}") for n, net in enumerate(networks)]
    index = index_blocks(blocks)
    edges = [edge for net in networks for edge in (net[0], net[-1])]
    numbers = data.draw(st.lists(st.integers(0, 2**32 - 1), max_size=5))
    for address in [*edges, *map(ip_address, numbers)]:
        matches = [
            (net.prefixlen, f"s{n}")
            for n, net in enumerate(networks)
            if net.version == address.version and address in net
        ]
        mapped = getattr(address, "ipv4_mapped", None)
        if mapped is None:
            expected = max(matches, default=(0, None))[1]
            assert index.site_of(str(address)) == expected
