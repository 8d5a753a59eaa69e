"""Values of JSON documents together with their places."""

import json
import math
import re
from typing import Any, NamedTuple, TypeGuard

import json5
from json5 import model
from json5.loader import ModelLoader

from rhubarbwell_platform.documents.findings import Place

__all__ = ["Member", "Node", "SyntaxFault", "read_json", "read_source"]

MAX_DEPTH = 16
UNPLACED = Place(0, 0)

# The library's own pattern takes exponential time on a comment without an end.
_COMMENTS_AND_STRINGS = re.compile(
    r"""//[^\n]*|/\*.*?\*/|"(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'|(?P<open>/\*)""",
    re.DOTALL,
)

Scalar = str | int | float | bool | None


class Member(NamedTuple):
    """Hold one key of an object, its place and its value."""

    key: str
    place: Place
    node: "Node"


class Node(NamedTuple):
    """Hold a value: a scalar, a list of nodes or a tuple of members."""

    place: Place
    value: "Scalar | list[Node] | tuple[Member, ...]"


class SyntaxFault(ValueError):
    """Tell that a text is not JSON with comments, and where."""

    def __init__(self, place: Place, message: str) -> None:
        super().__init__(message)
        self.place = place
        self.message = message


def read_source(text: str) -> Node:
    """Read JSON with comments; raise SyntaxFault.

    >>> read_source('// a file' + chr(10) + '{"rank": "bulk"}').value[0].place
    Place(line=2, column=2)
    """
    try:
        text.encode()
        _check_comments_end(text)
        parsed = json5.loads(text, loader=ModelLoader())
        return _from_model(parsed.value, 0)
    except json5.JSON5DecodeError as exc:
        raise SyntaxFault(_place_of_error(exc), _first_line(str(exc))) from exc
    except SyntaxFault:
        raise
    except (ValueError, TypeError, AssertionError, RecursionError) as exc:
        raise SyntaxFault(Place(1, 1), _first_line(str(exc))) from exc


def read_json(text: str) -> Node:
    """Read plain JSON, as published, without places; raise SyntaxFault."""
    try:
        return _from_value(json.loads(text, object_pairs_hook=_Pairs), 0)
    except SyntaxFault:
        raise
    except (ValueError, RecursionError) as exc:
        raise SyntaxFault(UNPLACED, _first_line(str(exc))) from exc


def _check_comments_end(text: str) -> None:
    for match in _COMMENTS_AND_STRINGS.finditer(text):
        if match["open"]:
            line = text.count("\n", 0, match.start()) + 1
            column = match.start() - text.rfind("\n", 0, match.start())
            raise SyntaxFault(Place(line, column), "the comment has no end")


class _Pairs(list[tuple[str, Any]]):
    """Mark the members of an object, doubled keys included."""


def _from_value(value: Any, depth: int) -> Node:
    _check_depth(depth, UNPLACED)
    if isinstance(value, _Pairs):
        members = [
            Member(key, UNPLACED, _from_value(item, depth + 1)) for key, item in value
        ]
        return Node(UNPLACED, tuple(members))
    if isinstance(value, list):
        return Node(UNPLACED, [_from_value(item, depth + 1) for item in value])
    return Node(UNPLACED, _checked_scalar(value, UNPLACED))


def _from_model(node: Any, depth: int) -> Node:
    place = _place_of(node)
    _check_depth(depth, place)
    if isinstance(node, model.JSONObject):
        members = [
            Member(_key_of(key), _place_of(key), _from_model(value, depth + 1))
            for key, value in node.key_value_pairs
        ]
        return Node(place, tuple(members))
    if isinstance(node, model.JSONArray):
        return Node(place, [_from_model(value, depth + 1) for value in node.values])
    return Node(place, _checked_scalar(_scalar_of(node), place))


def _scalar_of(node: Any) -> Scalar:
    if isinstance(node, model.String):
        return str(node.characters)
    if isinstance(node, model.UnaryOp):
        number = _scalar_of(node.value)
        return -number if node.op == "-" and _is_number(number) else number
    value: Scalar = node.value
    return value


def _is_number(value: Scalar) -> TypeGuard[int | float]:
    return isinstance(value, (int, float))


def _checked_scalar(value: Scalar, place: Place) -> Scalar:
    if isinstance(value, float) and not math.isfinite(value):
        raise SyntaxFault(place, "numbers must be finite")
    if isinstance(value, str) and not value.isprintable():
        raise SyntaxFault(place, "strings must be of printable characters")
    return value


def _check_depth(depth: int, place: Place) -> None:
    if depth > MAX_DEPTH:
        raise SyntaxFault(place, f"values are nested deeper than {MAX_DEPTH}")


def _key_of(key: Any) -> str:
    return str(key.name if isinstance(key, model.Identifier) else key.characters)


def _place_of(node: Any) -> Place:
    return Place(node.lineno or 1, (node.col_offset or 0) + 1)


def _place_of_error(exc: Any) -> Place:
    return Place(getattr(exc, "lineno", 1) or 1, getattr(exc, "colno", 1) or 1)


def _first_line(message: str) -> str:
    lines = [line.strip() for line in message.splitlines() if line.strip()]
    told = lines[2:3] if len(lines) > 2 else lines[:1]
    return "".join(told) or "not JSON with comments"
