"""Parsing of JSON into values with source positions."""

import json
import math
import re
from typing import Any, NamedTuple, TypeGuard

import json5
from json5 import model
from json5.loader import ModelLoader

from rhubarbwell_platform.documents.findings import Position

__all__ = ["Member", "Node", "DocumentSyntaxError", "parse_json", "parse_jsonc"]

MAX_DEPTH = 16
NO_POSITION = Position(0, 0)

# json5's own pattern takes exponential time on an unterminated comment.
_COMMENTS_AND_STRINGS = re.compile(
    r"""//[^\n]*|/\*.*?\*/|"(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'|(?P<open>/\*)""",
    re.DOTALL,
)

Scalar = str | int | float | bool | None


class Member(NamedTuple):
    """Hold a key of an object, its position and its value."""

    key: str
    position: Position
    node: "Node"


class Node(NamedTuple):
    """Hold a scalar, a list of nodes or a tuple of members, and its position."""

    position: Position
    value: "Scalar | list[Node] | tuple[Member, ...]"


class DocumentSyntaxError(ValueError):
    """Signal that a text cannot be parsed, with the position of the error."""

    def __init__(self, position: Position, message: str) -> None:
        super().__init__(message)
        self.position = position
        self.message = message


def parse_jsonc(text: str) -> Node:
    """Return the value of a JSON text with comments; raise DocumentSyntaxError.

    >>> parse_jsonc('// a file' + chr(10) + '{"rank": "bulk"}').value[0].position
    Position(line=2, column=2)
    """
    try:
        text.encode()  # Raises UnicodeEncodeError for a lone surrogate.
        _check_comments_end(text)
        parsed = json5.loads(text, loader=ModelLoader())
        return _node_from_model(parsed.value, 0)
    except json5.JSON5DecodeError as exc:
        raise DocumentSyntaxError(
            _error_position(exc), _summary_line(str(exc))
        ) from exc
    except DocumentSyntaxError:
        raise
    except (ValueError, TypeError, AssertionError, RecursionError) as exc:
        raise DocumentSyntaxError(Position(1, 1), _summary_line(str(exc))) from exc


def parse_json(text: str) -> Node:
    """Return the value of a plain JSON text, with every position 0.

    Raises DocumentSyntaxError.
    """
    try:
        return _node_from_value(json.loads(text, object_pairs_hook=_ObjectPairs), 0)
    except DocumentSyntaxError:
        raise
    except (ValueError, RecursionError) as exc:
        raise DocumentSyntaxError(NO_POSITION, _summary_line(str(exc))) from exc


def _check_comments_end(text: str) -> None:
    for match in _COMMENTS_AND_STRINGS.finditer(text):
        if match["open"]:
            line = text.count("\n", 0, match.start()) + 1
            column = match.start() - text.rfind("\n", 0, match.start())
            raise DocumentSyntaxError(Position(line, column), "the comment has no end")


class _ObjectPairs(list[tuple[str, Any]]):
    """Hold the members of an object, duplicate keys included.

    The type distinguishes objects from lists.
    """


def _node_from_value(value: Any, depth: int) -> Node:
    _check_depth(depth, NO_POSITION)
    if isinstance(value, _ObjectPairs):
        members = [
            Member(key, NO_POSITION, _node_from_value(item, depth + 1))
            for key, item in value
        ]
        return Node(NO_POSITION, tuple(members))
    if isinstance(value, list):
        return Node(NO_POSITION, [_node_from_value(item, depth + 1) for item in value])
    return Node(NO_POSITION, _checked_scalar(value, NO_POSITION))


def _node_from_model(node: Any, depth: int) -> Node:
    position = _position_of(node)
    _check_depth(depth, position)
    if isinstance(node, model.JSONObject):
        members = [
            Member(_key_of(key), _position_of(key), _node_from_model(value, depth + 1))
            for key, value in node.key_value_pairs
        ]
        return Node(position, tuple(members))
    if isinstance(node, model.JSONArray):
        return Node(
            position, [_node_from_model(value, depth + 1) for value in node.values]
        )
    return Node(position, _checked_scalar(_scalar_of(node), position))


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


def _checked_scalar(value: Scalar, position: Position) -> Scalar:
    if isinstance(value, float) and not math.isfinite(value):
        raise DocumentSyntaxError(position, "numbers must be finite")
    if isinstance(value, str) and not value.isprintable():
        raise DocumentSyntaxError(
            position, "strings must contain only printable characters"
        )
    return value


def _check_depth(depth: int, position: Position) -> None:
    if depth > MAX_DEPTH:
        raise DocumentSyntaxError(
            position, f"values are nested more than {MAX_DEPTH} levels deep"
        )


def _key_of(key: Any) -> str:
    return str(key.name if isinstance(key, model.Identifier) else key.characters)


def _position_of(node: Any) -> Position:
    return Position(node.lineno or 1, (node.col_offset or 0) + 1)


def _error_position(exc: Any) -> Position:
    return Position(getattr(exc, "lineno", 1) or 1, getattr(exc, "colno", 1) or 1)


def _summary_line(message: str) -> str:
    lines = [line.strip() for line in message.splitlines() if line.strip()]
    # json5 reports several errors over three or more lines, the primary on the third.
    summary = lines[2:3] if len(lines) > 2 else lines[:1]
    return "".join(summary) or "not JSON with comments"
