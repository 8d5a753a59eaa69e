"""The configuration in force: one version of all published files."""

from collections.abc import Mapping
from typing import NamedTuple

from rhubarbwell_core.model.accounts import AccountDirectory
from rhubarbwell_core.model.deployment import DeploymentSpec
from rhubarbwell_core.model.services import ServiceSpec

__all__ = ["Configuration"]


class Configuration(NamedTuple):
    """Hold the deployment, services and accounts of one published version.

    accounts is None if no account file is published; then requests need no key.
    """

    version: int
    digest: str
    deployment: DeploymentSpec
    services: Mapping[str, ServiceSpec]
    accounts: AccountDirectory | None = None
