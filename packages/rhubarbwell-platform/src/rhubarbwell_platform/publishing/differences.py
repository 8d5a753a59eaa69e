"""Key-by-key comparison of documents."""

import json
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from rhubarbwell_platform.documents import ACCOUNTS_PREFIX

__all__ = ["KeyDifference", "differences", "format_differences"]

_WHOLE_DOCUMENT = "document"
_LABEL_FIELDS = ("name", "id")
_KEYS_FIELD = "keys"


class KeyDifference(NamedTuple):
    """Hold a key's values before and after a change, None where the key is absent.

    An empty key means the whole document.
    """

    document: str
    key: str
    before: str | None
    after: str | None


def differences(
    before: Mapping[str, str], after: Mapping[str, str]
) -> tuple[KeyDifference, ...]:
    """Return the differences between two sets of documents.

    The digests of accounts' keys are not among the values.

    >>> old, new = {"a": '{"ttl_ms": 5}'}, {"a": '{"ttl_ms": 7}'}
    >>> print(format_differences(differences(old, new)))
    a: ttl_ms: 5 -> 7
    """
    found: list[KeyDifference] = []
    for name in sorted({*before, *after}):
        if before.get(name) == after.get(name):
            continue
        if name not in before or name not in after:
            found.append(_whole_document_difference(name, added=name in after))
            continue
        old, new = _flattened_values(before[name]), _flattened_values(after[name])
        if name.startswith(ACCOUNTS_PREFIX):
            _hide_digests(old, new)
        found += [
            KeyDifference(name, key, old.get(key), new.get(key))
            for key in sorted({*old, *new})
            if old.get(key) != new.get(key)
        ]
    return tuple(found)


def format_differences(found: tuple[KeyDifference, ...]) -> str:
    """Return the differences as text, one line each."""
    return "\n".join(_format_difference(difference) for difference in found)


def _format_difference(difference: KeyDifference) -> str:
    start = f"{difference.document}: {difference.key}: "
    if not difference.key:
        start = f"{difference.document}: "
    if difference.before is None:
        return f"{start}added {difference.after}"
    if difference.after is None:
        return f"{start}removed {difference.before}"
    return f"{start}{difference.before} -> {difference.after}"


def _whole_document_difference(document: str, *, added: bool) -> KeyDifference:
    if added:
        return KeyDifference(document, "", None, _WHOLE_DOCUMENT)
    return KeyDifference(document, "", _WHOLE_DOCUMENT, None)


def _flattened_values(text: str) -> dict[str, str]:
    return dict(_leaf_values("", json.loads(text)))


def _hide_digests(old: dict[str, str], new: dict[str, str]) -> None:
    """Replace the digests in the values of an account document by their numbers."""
    old_digests, new_digests = _taken_digests(old), _taken_digests(new)
    for key in {*old_digests, *new_digests}:
        before, after = old_digests.get(key), new_digests.get(key)
        if before is not None:
            old[key] = f"{len(before)} keys"
        if after is not None:
            added = "" if before is None else f", {len(after - before)} of them new"
            new[key] = f"{len(after)} keys"
            if before != after:
                new[key] += added


def _taken_digests(values: dict[str, str]) -> dict[str, set[str]]:
    """Remove the digests from values and return them by the key of their list."""
    taken: dict[str, set[str]] = {}
    for key in list(values):
        parent, _, field = key.rpartition(".")
        if field.partition("[")[0] == _KEYS_FIELD:
            digests = taken.setdefault(f"{parent}.{_KEYS_FIELD}", set())
            digests.add(values.pop(key))
    return taken


def _leaf_values(key: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict) and value:
        for name, item in value.items():
            yield from _leaf_values(f"{key}.{name}" if key else name, item)
    elif isinstance(value, list) and value:
        for index, item in enumerate(value):
            yield from _leaf_values(f"{key}[{_element_label(index, item)}]", item)
    else:
        yield key, json.dumps(value)


def _element_label(index: int, item: Any) -> str:
    """Return a name that identifies an item of a list.

    Items with a name of their own compare as equal when the list is reordered.
    """
    if isinstance(item, dict):
        for field in _LABEL_FIELDS:
            if field in item:
                return str(item[field])
        if "between" in item:
            return "-".join(item["between"])
    return str(index)
