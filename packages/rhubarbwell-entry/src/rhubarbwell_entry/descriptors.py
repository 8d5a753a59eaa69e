"""Open the standard descriptors of a process that starts without them."""

import os
import sys

__all__ = ["open_standard_descriptors"]

STANDARD_STREAMS = ("stdin", "stdout", "stderr")


def open_standard_descriptors() -> None:
    """Open the null device in place of standard descriptors that are closed.

    The first sockets would take their numbers and receive what is logged. Libraries
    expect the streams as they are imported.
    """
    for fd, name in enumerate(STANDARD_STREAMS):
        try:
            os.fstat(fd)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
        if getattr(sys, name) is None:
            mode = "r" if name == "stdin" else "w"
            setattr(sys, name, os.fdopen(fd, mode, encoding="utf-8", closefd=False))
