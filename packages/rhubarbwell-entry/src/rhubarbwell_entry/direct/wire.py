"""The interface between direct forwarding and the platform that it runs on."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

import aiohttp
from rhubarbwell_core.direct import BackendEntry, LoadReport, RoutingConfig
from rhubarbwell_core.errors import RhubarbwellError
from rhubarbwell_platform.services import MetadataStore

from rhubarbwell_entry.direct.settings import DirectSettings

__all__ = ["BackendReport", "DirectPlatform", "LookUp", "RowDecodingError", "WireNames"]


class RowDecodingError(RhubarbwellError):
    """Tell why a row of the store cannot be read."""


class WireNames(NamedTuple):
    """Name the headers and tables that the platform uses.

    signature marks an answer as a backend server's own; not_run marks an answer
    that proves that the request did not run; object_cookie tells which object a
    request concerns.
    """

    request_id: str
    deadline: str
    expected_backend: str
    signature: str
    not_run: str
    object_cookie: str
    operator_table: str
    backend_table: str
    instance_table: str


class LookUp(NamedTuple):
    """Tell where a caller that looks for entry instances is."""

    zone: str
    region: str


class BackendReport(NamedTuple):
    """Hold what a backend server tells of itself with an answer.

    cold_ms is how much longer its caches stay cold; both are None where not told.
    """

    load: LoadReport | None = None
    cold_ms: int | None = None


class DirectPlatform(ABC):
    """Translate a platform's names, formats and calls."""

    names: WireNames
    readiness_path: str
    look_up_path: str

    @abstractmethod
    def read_settings(self) -> DirectSettings:
        """Return the settings of the process as they are now; raise SettingsError."""

    @abstractmethod
    def open_store(
        self, session: aiohttp.ClientSession, cfg: DirectSettings
    ) -> MetadataStore:
        """Return the metadata store of the settings."""

    @abstractmethod
    def decode_config(self, key: str, value: bytes) -> RoutingConfig | None:
        """Return a configuration, None for another row; raise RowDecodingError."""

    @abstractmethod
    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that an operators' row evacuates, None for another row."""

    @abstractmethod
    def decode_backend(self, key: str, value: bytes) -> BackendEntry:
        """Return a backend server's entry; raise RowDecodingError."""

    @abstractmethod
    def decode_backend_report(self, headers: Mapping[str, str]) -> BackendReport:
        """Return what an answer's headers tell of the backend server."""

    @abstractmethod
    def decode_look_up(self, query: Mapping[str, str]) -> LookUp:
        """Return who asks for entry instances."""

    @abstractmethod
    def encode_look_up(self, addresses: list[str], ttl_ms: int) -> dict[str, object]:
        """Return the body of the answer to a look-up."""
