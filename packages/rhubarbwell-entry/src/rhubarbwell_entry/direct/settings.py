"""Settings of an entry instance in direct forwarding."""

from collections.abc import Mapping
from typing import NamedTuple

from rhubarbwell_core.direct import QuotaRule, RetryBudgetRule
from rhubarbwell_core.errors import RhubarbwellError
from rhubarbwell_core.model import Address
from rhubarbwell_platform.http import ClientOptions

__all__ = ["DirectSettings", "SettingsError"]


class SettingsError(RhubarbwellError):
    """Report all errors of a settings file."""


class DirectSettings(NamedTuple):
    """Hold the validated settings of a process.

    regions maps each availability zone to its region; stop_max_ms is the time from
    SIGTERM to SIGKILL. config_apply_ms and drain_ms limit the time until a change of
    the configuration or the draining of a backend server is in force. max_pause_ms is
    the longest pause that a server may ask for. max_shift is the
    largest fraction of a region's requests that may move to servers of another region
    within two seconds. max_answer_bytes limits the head and body of an answer, which
    are held in memory, max_request_memory_bytes the bodies and answers of all open
    requests, memory_bytes is what the process may hold in all. seeds are the control
    addresses of instances that a starting instance asks for their tables; they may be
    out of date. is_first_start is True when the whole fleet starts for the first time.
    divides_quotas is True if accounts may have quotas, which the instances share.
    With sheds_load, load that servers cannot answer in time is refused, and the request
    bodies outstanding at a server, over all instances, are bounded to
    body_bytes_per_slot for each of its slots.
    adapts_concurrency is True if the instance learns how many concurrent requests a
    server bears. With sheds_load_by_pace and adapts_concurrency_by_pace, load is shed
    and limits are learned for each service whose servers report the pace of their
    machines, also without the other two.
    """

    instance_id: str
    zone: str
    regions: Mapping[str, str]
    callers: Address
    readiness: Address
    control: Address
    directory: Address
    metrics: Address
    store: Address
    store_options: ClientOptions
    retries: RetryBudgetRule
    stop_max_ms: int = 6_000
    config_apply_ms: int = 2_000
    drain_ms: int = 2_000
    max_pause_ms: int = 86_400_000
    max_shift: float = 0.15
    processor_cores: float = 1.0
    link_mbit_per_s: float = 1_000.0
    max_answer_bytes: int = 16 << 20
    max_request_memory_bytes: int = 150 << 20
    memory_bytes: int = 300 << 20
    seeds: tuple[Address, ...] = ()
    is_first_start: bool = False
    quotas: QuotaRule = QuotaRule()
    divides_quotas: bool = True
    sheds_load: bool = False
    body_bytes_per_slot: int = 1 << 20
    adapts_concurrency: bool = False
    sheds_load_by_pace: bool = True
    adapts_concurrency_by_pace: bool = True

    @property
    def region(self) -> str:
        """Return the region of this instance's availability zone."""
        return self.regions[self.zone]
