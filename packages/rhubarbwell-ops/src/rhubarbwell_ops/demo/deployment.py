"""Deployment of platform, backend servers and entry instances in one process."""

import asyncio
from collections.abc import Iterable, Sequence
from pathlib import Path

from returns.result import Failure
from rhubarbwell_core.errors import RhubarbwellError
from rhubarbwell_core.messages import PeerState
from rhubarbwell_core.model import (
    AccountGroup,
    Address,
    DeploymentSpec,
    ServiceSpec,
    ZoneSpec,
)
from rhubarbwell_entry.instance import EntryInstance
from rhubarbwell_entry.settings import Settings
from rhubarbwell_platform.documents import (
    Document,
    check_files,
    document_name,
    encode_document,
    format_findings,
    read_files,
)
from rhubarbwell_platform.memory import memory_platform
from rhubarbwell_platform.publishing import Change, publish, read_state
from rhubarbwell_platform.standins import FakeBackend

__all__ = ["DemoDeployment", "DemoError", "load_documents"]

ANY_PORT = Address("127.0.0.1", 0)
PEER_KEY = "key of the demonstration, not a secret"
SERVICE_TIME_MS = 150.0
READY_TIMEOUT_S = 10.0
READY_POLL_INTERVAL_S = 0.05


class DemoError(RhubarbwellError):
    """Report that the demonstration cannot run."""


class DemoDeployment:
    """Run the backend servers and entry instances of documents on free ports."""

    def __init__(self, documents: Sequence[Document]) -> None:
        self.platform = memory_platform()
        self.backends: dict[str, FakeBackend] = {}
        self.instances: list[EntryInstance] = []
        self._documents = documents
        self._specs: dict[str, ServiceSpec] = {}

    async def start(self) -> None:
        """Start the servers, publish the documents and wait until all are ready.

        Raises DemoError if publishing fails and TimeoutError if the instances are not
        ready within READY_TIMEOUT_S.
        """
        deployment = _deployment_spec(self._documents)
        for document in self._documents:
            if isinstance(document.spec, ServiceSpec):
                spec = await self._start_backends(document.spec)
                self._specs[spec.name] = spec
        await self._publish("demo-1", [deployment, *self._specs.values()])
        for zone in deployment.zones:
            for number in range(zone.entry_instances):
                await self._start_instance(zone, number)
        await self._wait_until_ready()

    async def stop(self) -> None:
        """Stop the entry instances, then the backend servers."""
        for instance in self.instances:
            await instance.stop()
        for backend in self.backends.values():
            await backend.stop()

    async def drain(self, backend_id: str) -> None:
        """Publish that the backend server gets no new requests."""
        for spec in self._specs.values():
            backends = tuple(
                backend._replace(
                    draining=backend.draining or backend.backend_id == backend_id
                )
                for backend in spec.backends
            )
            if backends != spec.backends:
                self._specs[spec.name] = spec._replace(backends=backends)
                await self._publish(f"drain-{backend_id}", [self._specs[spec.name]])

    async def _start_backends(self, spec: ServiceSpec) -> ServiceSpec:
        started = []
        for backend_spec in spec.backends:
            backend = FakeBackend(
                backend_spec.backend_id,
                slots=backend_spec.slots,
                service_ms=SERVICE_TIME_MS,
            )
            address = await backend.start()
            self.backends[backend_spec.backend_id] = backend
            started.append(backend_spec._replace(host=address.host, port=address.port))
        return spec._replace(backends=tuple(started))

    async def _publish(
        self, publish_id: str, specs: Iterable[ServiceSpec | DeploymentSpec]
    ) -> None:
        documents = {document_name(spec): encode_document(spec) for spec in specs}
        base = await read_state(self.platform)
        change = Change(publish_id, "demo", 0, documents)
        result = await publish(self.platform, change, base=base)
        if isinstance(result, Failure):
            raise DemoError(f"publishing failed: {result.failure()}")

    async def _start_instance(self, zone: ZoneSpec, number: int) -> None:
        settings = Settings(
            instance_id=f"{zone.name}-{number}",
            zone=zone.name,
            region=zone.region,
            callers=ANY_PORT,
            operators=ANY_PORT,
            peers=ANY_PORT,
            platform="",
            seeds=tuple(other.identity.peers for other in self.instances),
            peer_keys=(PEER_KEY,),
        )
        instance = EntryInstance(settings, self.platform)
        self.instances.append(instance)
        await instance.start()

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(
                _is_ready(instance, self.instances) for instance in self.instances
            ):
                await asyncio.sleep(READY_POLL_INTERVAL_S)


def load_documents(folder: Path) -> tuple[Document, ...]:
    """Return the checked documents of a folder's *.jsonc files.

    Raises DemoError if there are no such files, with the findings of the check, or for
    account files, whose keys the demonstration's callers do not have.
    """
    paths = sorted(folder.glob("*.jsonc"))
    if not paths:
        raise DemoError(f"no *.jsonc files in {folder}")
    checked = read_files(paths).bind(check_files)
    if isinstance(checked, Failure):
        raise DemoError(format_findings(checked.failure()))
    documents = checked.unwrap()
    for document in documents:
        if isinstance(document.spec, AccountGroup):
            raise DemoError(f"{document.file}: the demonstration has no accounts")
    return documents


def _deployment_spec(documents: Iterable[Document]) -> DeploymentSpec:
    for document in documents:
        if isinstance(document.spec, DeploymentSpec):
            return document.spec
    raise DemoError("no deployment document in the demo files")


def _is_ready(instance: EntryInstance, instances: Sequence[EntryInstance]) -> bool:
    peers = instance.core.peers.rows()
    ready = sum(1 for peer in peers if peer.state is PeerState.READY)
    return instance.core.configuration is not None and ready == len(instances)
