"""Detection of unknown command-line flags."""

import inspect
from collections.abc import Iterator, Sequence

from rhubarbwell_platform.documents import nearest_hint

__all__ = ["unknown_flag_errors"]

HELP_FLAGS = ("help", "h")


def unknown_flag_errors(commands: type, arguments: Sequence[str]) -> list[str]:
    """Return an error message for each flag that the command does not have.

    Fire runs a command before it rejects unused flags, so a mistyped --dry-run would
    publish.

    >>> class Commands:
    ...     def publish(self, dry_run=False): ...
    >>> unknown_flag_errors(Commands, ["publish", "--dryrun"])
    ["publish has no flag --dryrun; did you mean 'dry_run'?"]
    >>> unknown_flag_errors(Commands, ["publish", "--dry-run"])
    []
    """
    command = (
        getattr(commands, arguments[0].replace("-", "_"), None) if arguments else None
    )
    if command is None:
        return []
    parameter_names = [
        name for name in inspect.signature(command).parameters if name != "self"
    ]
    return [
        f"{arguments[0]} has no flag {flag}"
        f"{nearest_hint(_parameter_name(flag), parameter_names)}"
        for flag in _flags_in(arguments[1:])
        if not _is_known(_parameter_name(flag), parameter_names)
    ]


def _flags_in(arguments: Sequence[str]) -> Iterator[str]:
    for argument in arguments:
        if argument == "--":
            return
        if argument.startswith("-") and not argument[1:2].isdigit():
            yield argument.partition("=")[0]


def _parameter_name(flag: str) -> str:
    return flag.lstrip("-").replace("-", "_")


def _is_known(name: str, parameter_names: Sequence[str]) -> bool:
    # Fire also takes --noNAME, which sets NAME to False, and a flag's first letter.
    if (
        name in parameter_names
        or name in HELP_FLAGS
        or name.removeprefix("no") in parameter_names
    ):
        return True
    return len(name) == 1 and any(flag.startswith(name) for flag in parameter_names)
