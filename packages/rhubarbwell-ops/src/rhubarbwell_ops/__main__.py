"""The command line for operators."""

import fire

from rhubarbwell_ops.commands import ConfigurationCommands

__all__ = ["Commands", "main"]


class Commands(ConfigurationCommands):
    """Steer a rhubarbwell deployment.

    Exit codes: 0 done, 1 findings, 2 wrong use, 3 conflict, 4 nothing done,
    5 outcome unknown, 6 published but not in force everywhere.
    """


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, name="rhubarbwell")


if __name__ == "__main__":
    main()
