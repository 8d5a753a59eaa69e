"""Interface between direct forwarding and the platform that it runs on."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

import aiohttp
from rhubarbwell_core.direct import BackendEntry, LoadReport, RoutingConfig
from rhubarbwell_core.errors import RhubarbwellError
from rhubarbwell_platform.services import EraTracker, MetadataStore

from rhubarbwell_entry.direct.settings import DirectSettings

__all__ = [
    "BackendAge",
    "BackendReport",
    "DirectPlatform",
    "LookUp",
    "RowDecodingError",
    "WireNames",
]


class RowDecodingError(RhubarbwellError):
    """Report why a row of the store cannot be decoded."""


class WireNames(NamedTuple):
    """Hold the names of the platform's headers, cookie and tables.

    signature is the header of every answer that a backend server itself produced;
    not_run is the header that proves that the request did not run; object_cookie is
    the cookie with the key of the object that a request concerns. account_key is the
    header with a caller's key, account_name the one in which backend servers get the
    name of the account.
    """

    request_id: str
    deadline: str
    expected_backend: str
    signature: str
    not_run: str
    object_cookie: str
    account_key: str
    account_name: str
    operator_table: str
    backend_table: str
    instance_table: str


class LookUp(NamedTuple):
    """Hold the zone and region of a caller that looks up entry instances."""

    zone: str
    region: str


class BackendReport(NamedTuple):
    """Hold the state that a backend server reports in the headers of an answer.

    cold_ms is the time until its caches are warm; rate_limit_per_s is the number of
    requests that it takes from all instances together; is_leaving is True if it is
    about to end; pause_ms is the time for which it wants no requests from this
    instance, if it turned the request away. A value that is missing is None.
    """

    load: LoadReport | None = None
    cold_ms: int | None = None
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: int | None = None


class BackendAge(NamedTuple):
    """Order the rows of one backend server by when it wrote them.

    born_ms is its start time, sequence grows with what it writes after that.
    """

    born_ms: int
    sequence: int
    is_draining: bool


class DirectPlatform(ABC):
    """Translate the names, formats and calls of a platform."""

    names: WireNames
    readiness_path: str
    look_up_path: str

    @abstractmethod
    def read_settings(self) -> DirectSettings:
        """Return the current settings of the process; raise SettingsError."""

    @abstractmethod
    def open_store(
        self, session: aiohttp.ClientSession, cfg: DirectSettings, eras: EraTracker
    ) -> MetadataStore:
        """Return a client of the metadata store that the settings name.

        It tells eras the era in each answer.
        """

    @abstractmethod
    def decode_config(self, key: str, value: bytes) -> RoutingConfig | None:
        """Return the configuration, or None for another key; raise RowDecodingError."""

    @abstractmethod
    def without_keys(self, key: str, value: bytes) -> bytes:
        """Return the value of an operators' row with digests in place of keys.

        A value without keys of accounts is returned unchanged, so that the keys are
        neither kept nor passed on to other instances.
        """

    @abstractmethod
    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone whose evacuation the row of this key controls, or None.

        None means that the row controls no evacuation.
        """

    @abstractmethod
    def decode_backend(self, key: str, value: bytes) -> BackendEntry:
        """Return a backend server's entry; raise RowDecodingError."""

    @abstractmethod
    def decode_backend_age(self, value: bytes) -> BackendAge:
        """Return the age of a backend server's row; raise RowDecodingError."""

    @abstractmethod
    def decode_backend_report(self, headers: Mapping[str, str]) -> BackendReport:
        """Return the backend server's state from the headers of an answer."""

    @abstractmethod
    def decode_look_up(self, query: Mapping[str, str]) -> LookUp:
        """Return the caller's location from the query of a look-up."""

    @abstractmethod
    def encode_look_up(self, addresses: list[str], ttl_ms: int) -> dict[str, object]:
        """Return the response body of a look-up."""
