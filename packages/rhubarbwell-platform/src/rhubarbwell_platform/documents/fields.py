"""Typed access to the fields of parsed objects, with findings for invalid ones."""

import difflib
import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rhubarbwell_platform.documents.findings import FindingLog
from rhubarbwell_platform.documents.nodes import Member, Node

__all__ = ["FieldReader", "Range", "nearest_hint"]

NAME_PATTERN = re.compile(r"[a-z][a-z0-9_-]{0,62}")


class Range(NamedTuple):
    """Represent an inclusive range of numbers and their unit."""

    low: float
    high: float
    unit: str = ""

    def describe(self) -> str:
        """Return the range as text for messages.

        >>> Range(1, 65_535).describe()
        '1 to 65535'
        """
        return f"{self.low:g} to {self.high:.15g} {self.unit}".strip()


class FieldReader:
    """Read the fields of one object and report invalid fields.

    A method that finds a missing field or a wrong type reports it and returns the
    default, or else a placeholder of the right type, so that one pass over a file
    collects all findings.
    """

    def __init__(self, node: Node, key: str, log: FindingLog) -> None:
        self.key = key
        self.position = node.position
        self.log = log
        self._known: list[str] = []
        self._members: dict[str, Member] = {}
        log.record_position(key, node.position)
        if not isinstance(node.value, tuple):
            log.add(node.position, key, f"must be an object, not {_type_name(node)}")
            return
        for member in node.value:
            self._add_member(member)

    def key_of(self, name: str) -> str:
        """Return the key of a field, prefixed with the key of the object."""
        return f"{self.key}.{name}" if self.key else name

    def has(self, name: str) -> bool:
        """Return True if the object has the field, and mark the field as known."""
        self._known.append(name)
        return name in self._members

    def read_keys(self) -> Sequence[str]:
        """Return the keys of the object and mark all of them as known."""
        self._known += self._members
        return tuple(self._members)

    def text(
        self, name: str, *, default: str | None = None, max_length: int = 500
    ) -> str:
        """Return a string of at most max_length characters.

        The field is required unless a default is given.
        """
        value = self._scalar(name, (str,), "a string", default)
        if not isinstance(value, str):
            return default or ""
        if len(value) > max_length:
            self.add_finding(name, f"must not be longer than {max_length} characters")
        return value

    def name(self, name: str) -> str:
        """Return a required name that matches NAME_PATTERN."""
        value = self.text(name)
        if value and not NAME_PATTERN.fullmatch(value):
            self.add_finding(name, f"{value!r} must match {NAME_PATTERN.pattern}")
        return value

    def choice(
        self, name: str, choices: Sequence[str], *, default: str | None = None
    ) -> str:
        """Return a string that is one of the choices."""
        value = self.text(name, default=default)
        if value in choices:
            return value
        if self.has(name) and isinstance(self._members[name].node.value, str):
            self.add_finding(name, self.unknown_value_message(value, choices))
        return default or choices[0]

    def boolean(self, name: str, *, default: bool | None = None) -> bool:
        """Return a boolean; the field is required unless a default is given."""
        value = self._scalar(name, (bool,), "a boolean", default)
        return value is True

    def integer(self, name: str, allowed: Range, *, default: int | None = None) -> int:
        """Return an integer field; report a value outside of the range."""
        value = self._scalar(name, (int,), "an integer", default)
        if not isinstance(value, int):
            return default or int(allowed.low)
        self._check_range(name, value, allowed)
        return value

    def number(
        self, name: str, allowed: Range, *, default: float | None = None
    ) -> float:
        """Return a number field as a float; report a value outside of the range."""
        value = self._scalar(name, (int, float), "a number", default)
        if not isinstance(value, (int, float)):
            return default or allowed.low
        self._check_range(name, value, allowed)
        # float() raises OverflowError for a very large integer.
        return float(value) if abs(value) <= abs(allowed.high) else allowed.high

    def texts(self, name: str, *, required: bool = False) -> tuple[str, ...]:
        """Return the strings of a list."""
        return tuple(self.texts_by_key(name, required=required).values())

    def texts_by_key(self, name: str, *, required: bool = False) -> dict[str, str]:
        """Return the strings of a list by their keys in the file."""
        found = {}
        for item, key in self._items(name, required=required):
            if isinstance(item.value, str):
                found[key] = item.value
            else:
                self.log.add(
                    item.position, key, f"must be a string, not {_type_name(item)}"
                )
        return found

    def objects(self, name: str, *, required: bool = False) -> list["FieldReader"]:
        """Return a reader for each object of a list field."""
        items = self._items(name, required=required)
        return [FieldReader(item, key, self.log) for item, key in items]

    def object(self, name: str) -> "FieldReader | None":
        """Return a reader for an object field, None if it is missing."""
        if not self.has(name):
            return None
        return FieldReader(self._members[name].node, self.key_of(name), self.log)

    def add_finding(self, name: str, message: str) -> None:
        """Report a finding about a field, at the position of its value."""
        member = self._members.get(name)
        position = member.node.position if member else self.position
        self.log.add(position, self.key_of(name), message)

    def unknown_value_message(self, value: str, choices: Sequence[str]) -> str:
        """Return the message for a value that is not one of the choices."""
        return _unknown_word_message("value", value, choices)

    def report_unknown_fields(self) -> None:
        """Report every field of the object that no method has asked for."""
        for key, member in self._members.items():
            if key not in self._known:
                message = _unknown_word_message("key", key, self._known)
                self.log.add(member.position, self.key_of(key), message)

    def _add_member(self, member: Member) -> None:
        if member.key in self._members:
            message = "the key is defined more than once"
            self.log.add(member.position, self.key_of(member.key), message)
            return
        self._members[member.key] = member
        self.log.record_position(self.key_of(member.key), member.node.position)

    def _scalar(
        self,
        name: str,
        types: tuple[type, ...],
        expected: str,
        default: str | float | bool | None,
    ) -> str | int | float | bool | None:
        if not self.has(name):
            if default is None:
                self.log.add(
                    self.position, self.key_of(name), f"is missing: {expected}"
                )
            return default
        node = self._members[name].node
        if type(node.value) in types:
            return node.value  # type: ignore[return-value]
        self.add_finding(name, f"must be {expected}, not {_type_name(node)}")
        return None

    def _check_range(self, name: str, value: float, allowed: Range) -> None:
        if not allowed.low <= value <= allowed.high:
            self.add_finding(
                name, f"{value!r} is out of the range {allowed.describe()}"
            )

    def _items(self, name: str, *, required: bool) -> Iterable[tuple[Node, str]]:
        if not self.has(name):
            if required:
                self.log.add(self.position, self.key_of(name), "is missing: a list")
            return []
        node = self._members[name].node
        if not isinstance(node.value, list):
            self.add_finding(name, f"must be a list, not {_type_name(node)}")
            return []
        if required and not node.value:
            self.add_finding(name, "must not be empty")
        keyed = [
            (item, f"{self.key_of(name)}[{index}]")
            for index, item in enumerate(node.value)
        ]
        for item, key in keyed:
            self.log.record_position(key, item.position)
        return keyed


def nearest_hint(word: str, known: Iterable[str]) -> str:
    """Return a hint that names the closest known word, or an empty string.

    >>> nearest_hint("rnak", ["rank", "name"])
    "; did you mean 'rank'?"
    """
    matches = difflib.get_close_matches(word, list(known), n=1)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def _unknown_word_message(what: str, word: str, known: Sequence[str]) -> str:
    hint = nearest_hint(word, known)
    return (
        f"unknown {what} {word!r}{hint or '; known: ' + ', '.join(sorted(set(known)))}"
    )


def _type_name(node: Node) -> str:
    value = node.value
    if isinstance(value, tuple):
        return "an object"
    if isinstance(value, list):
        return "a list"
    if value is None:
        return "null"
    return {str: "a string", bool: "a boolean"}.get(type(value), "a number")
