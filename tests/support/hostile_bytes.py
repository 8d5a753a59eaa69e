"""Bytes of other writers: JSON of every shape, numbers of every size and no JSON."""

import json
from typing import Any

from hypothesis import strategies as st

__all__ = ["HOSTILE_VALUES", "hostile_documents", "hostile_values"]

HOSTILE_VALUES: list[Any] = [
    *(None, True, False, 0, -1, 1.5, -0.0, 1e308, 10**400, -(10**400), 2**53 + 1),
    *(float("nan"), float("inf"), float("-inf")),
    *("", "x", "é", "²", "٣", "\ud800", "\x00", "\n", "a\r\nb: c", " ", "x" * 5_000),
    *("0ms", "-1ms", "1" * 400 + "ms", "²ms", "1e9s", "soon"),
    *("10.0.0.1:0", "10.0.0.1:²", "10.0.0.1:99999", "a b:80", "..:80", "\ud800:80"),
    *([], {}, [[]], [None], {"a": {}}, ["a-1"], [1, 2, 3]),
]
# Beyond the recursion limit of JSON readers, and at it.
DEPTHS = [10, 400, 1_000, 2_000, 20_000]


def hostile_values() -> st.SearchStrategy[Any]:
    """Return values that a field of JSON can hold."""
    leaves = st.sampled_from(HOSTILE_VALUES) | st.text(max_size=8) | st.integers()
    return leaves | st.recursive(
        leaves,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=3), inner, max_size=3)
        ),
        max_leaves=6,
    )


def hostile_documents(valid: Any) -> st.SearchStrategy[bytes]:
    """Return bytes: any, of nested brackets, or the valid value with damage."""
    return st.one_of(
        st.binary(max_size=64),
        st.sampled_from([_nested(depth) for depth in DEPTHS]),
        st.sampled_from([b"9" * 5_000, b"1e999", b"NaN", b'"\\ud800"', b"\xff\xfe"]),
        hostile_values().map(_encode),
        _damaged(valid).map(_encode),
        st.tuples(st.just(_encode(valid)), st.integers(0, 400)).map(
            lambda pair: pair[0][: pair[1]]
        ),
    )


def _nested(depth: int) -> bytes:
    return b"[" * depth


def _damaged(valid: Any) -> st.SearchStrategy[Any]:
    """Return copies of a value with one item, at any depth, replaced."""
    return st.tuples(st.sampled_from(list(_paths(valid))), hostile_values()).map(
        lambda pair: _replaced(valid, *pair)
    )


def _paths(value: Any) -> list[tuple[Any, ...]]:
    items = _items(value)
    return [()] + [(key, *path) for key, item in items for path in _paths(item)]


def _items(value: Any) -> list[tuple[Any, Any]]:
    if isinstance(value, dict):
        return list(value.items())
    return list(enumerate(value)) if isinstance(value, list) else []


def _replaced(value: Any, path: tuple[Any, ...], item: Any) -> Any:
    if not path:
        return item
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = _replaced(value[path[0]], path[1:], item)
    return copy


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()
