"""In-memory instance list."""

from rhubarbwell_platform.services import InstanceList, InstanceListing

__all__ = ["MemoryInstanceList"]


class MemoryInstanceList(InstanceList):
    """Return the listing that the attribute `listing` was last set to."""

    def __init__(self) -> None:
        self.listing = InstanceListing(0)

    async def read(self) -> InstanceListing:
        """Return the listing."""
        return self.listing
