"""The command line for operators."""

import sys
from pathlib import Path
from typing import NoReturn

import fire
import uvloop

from rhubarbwell_ops.demo import DemoError, format_demo, run_demo

__all__ = ["Commands", "main"]

DEMO_FILES = "examples/demo"
EXIT_FAILED = 1


class Commands:
    """Steer a rhubarbwell deployment."""

    def demo(self, files: str = DEMO_FILES) -> None:
        """Run a small deployment on this machine for about twenty seconds."""
        try:
            result = uvloop.run(run_demo(Path(files)))
        except DemoError as exc:
            _fail(str(exc))
        print(format_demo(result))


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, name="rhubarbwell")


def _fail(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(EXIT_FAILED)


if __name__ == "__main__":
    main()
