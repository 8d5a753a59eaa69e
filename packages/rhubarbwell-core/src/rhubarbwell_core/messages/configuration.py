"""Events about the configuration in force."""

from typing import NamedTuple

from rhubarbwell_core.model import Configuration

__all__ = ["ConfigReceived"]


class ConfigReceived(NamedTuple):
    """Report a published configuration that has passed its checks."""

    configuration: Configuration
