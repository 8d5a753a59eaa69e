"""Events of the configuration in force."""

from typing import NamedTuple

from rhubarbwell_core.model import Configuration

__all__ = ["ConfigReceived"]


class ConfigReceived(NamedTuple):
    """Report a checked configuration of a published version."""

    configuration: Configuration
