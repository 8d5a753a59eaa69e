"""Run an entry instance from the command line."""

from rhubarbwell_entry.descriptors import open_standard_descriptors

__all__ = ["main"]


def main() -> None:
    """Open missing standard descriptors, then parse the command line and run."""
    open_standard_descriptors()
    from rhubarbwell_entry.program import main as run_program

    run_program()


if __name__ == "__main__":
    main()
