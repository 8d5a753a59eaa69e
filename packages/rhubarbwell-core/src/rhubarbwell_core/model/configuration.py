"""The configuration in force: one version of all published files."""

from collections.abc import Mapping
from typing import NamedTuple

from rhubarbwell_core.model.deployment import DeploymentSpec
from rhubarbwell_core.model.services import ServiceSpec

__all__ = ["Configuration"]


class Configuration(NamedTuple):
    """Hold the deployment and services of one published version."""

    version: int
    digest: str
    deployment: DeploymentSpec
    services: Mapping[str, ServiceSpec]
