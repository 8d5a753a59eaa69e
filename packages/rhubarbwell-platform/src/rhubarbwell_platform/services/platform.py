"""The services of a platform."""

from typing import NamedTuple

from rhubarbwell_platform.services.instances import InstanceList
from rhubarbwell_platform.services.objects import ObjectStore
from rhubarbwell_platform.services.tables import TableService

__all__ = ["Platform"]


class Platform(NamedTuple):
    """Hold the three services of a platform."""

    tables: TableService
    objects: ObjectStore
    instances: InstanceList
