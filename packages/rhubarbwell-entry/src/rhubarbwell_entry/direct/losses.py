"""Find out whether a server that lost a connection still runs."""

import asyncio
from collections.abc import Callable

from rhubarbwell_core.direct import LoadBalancer
from rhubarbwell_core.direct.restarts import MIN_SURVIVAL_MS
from rhubarbwell_core.model import Address
from rhubarbwell_platform.http import SocketTimeout, polled_sleep

from rhubarbwell_entry.tasks import BackgroundTasks

__all__ = ["LossChecks"]

CONNECT_TIMEOUT_S = 0.3
# Covers the time between a loss and its check, and the rounding of times.
SURVIVAL_S = (MIN_SURVIVAL_MS + 10) / 1_000


class LossChecks:
    """Report to the balancer which connections outlive the loss of another one.

    Without any other connection to the server, one is opened at once. It carries no
    request.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        oldest_open_ms: Callable[[Address], int | None],
        tasks: BackgroundTasks,
        clock_ms: Callable[[], int],
    ) -> None:
        self._balancer = balancer
        self._oldest_open_ms = oldest_open_ms
        self._tasks = tasks
        self._clock_ms = clock_ms
        self._probed: set[Address] = set()

    def start(self, address: Address, *, was_connected: bool) -> None:
        """Check a server that has lost a connection, or could not be connected to."""
        if self._oldest_open_ms(address) is not None:
            self._tasks.spawn(self._check_open(address))
        elif was_connected and address not in self._probed:
            self._probed.add(address)
            self._tasks.spawn(self._probe(address))

    async def _check_open(self, address: Address) -> None:
        await polled_sleep(SURVIVAL_S)
        opened_ms = self._oldest_open_ms(address)
        if opened_ms is not None:
            self._record_open(address, opened_ms)

    async def _probe(self, address: Address) -> None:
        try:
            async with SocketTimeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, ValueError):
            # The host of an address can have any form that its registry row had.
            return
        finally:
            self._probed.discard(address)
        opened_ms = self._clock_ms()
        try:
            async with SocketTimeout(SURVIVAL_S):
                await reader.read(1)
        except TimeoutError:
            self._record_open(address, opened_ms)
        except OSError:
            return
        finally:
            writer.close()

    def _record_open(self, address: Address, opened_ms: int) -> None:
        self._balancer.record_open_connection(address, opened_ms, self._clock_ms())
