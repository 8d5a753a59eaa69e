"""Flags that a command does not have."""

import inspect
from collections.abc import Iterator, Sequence

from rhubarbwell_platform.documents import nearest_hint

__all__ = ["check_flags"]

HELP_FLAGS = ("help", "h")


def check_flags(commands: type, words: Sequence[str]) -> list[str]:
    """Return a message for each flag that the named command does not have.

    The library of the command line runs a command before it looks at leftover
    flags, so a mistyped --dry-run would publish.

    >>> class Commands:
    ...     def publish(self, dry_run=False): ...
    >>> check_flags(Commands, ["publish", "--dryrun"])
    ["publish has no flag --dryrun; did you mean 'dry_run'?"]
    >>> check_flags(Commands, ["publish", "--dry-run"])
    []
    """
    command = getattr(commands, words[0].replace("-", "_"), None) if words else None
    if command is None:
        return []
    known = [name for name in inspect.signature(command).parameters if name != "self"]
    return [
        f"{words[0]} has no flag {flag}{nearest_hint(_name_of(flag), known)}"
        for flag in _flags(words[1:])
        if not _is_known(_name_of(flag), known)
    ]


def _flags(words: Sequence[str]) -> Iterator[str]:
    for word in words:
        if word == "--":
            return
        if word.startswith("-") and not word[1:2].isdigit():
            yield word.partition("=")[0]


def _name_of(flag: str) -> str:
    return flag.lstrip("-").replace("-", "_")


def _is_known(name: str, known: Sequence[str]) -> bool:
    if name in known or name in HELP_FLAGS or name.removeprefix("no") in known:
        return True
    return len(name) == 1 and any(flag.startswith(name) for flag in known)
