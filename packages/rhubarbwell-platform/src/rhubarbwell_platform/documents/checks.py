"""Cross-document validation."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from collections.abc import Set as AbstractSet

from returns.result import Failure, Result, Success
from rhubarbwell_core.model import (
    AccountDirectory,
    AccountGroup,
    AccountSpec,
    Configuration,
    DeploymentSpec,
    Rank,
    ServiceSpec,
    rank_name,
)

from rhubarbwell_platform.documents.encoding import DEPLOYMENT_NAME
from rhubarbwell_platform.documents.fields import nearest_hint
from rhubarbwell_platform.documents.files import (
    Document,
    SourceFile,
    parse_document,
    parse_file,
)
from rhubarbwell_platform.documents.findings import Finding, FindingLog

__all__ = ["check_documents", "check_files", "configuration_of", "findings_of"]

BITS_PER_MBIT = 1_000_000


def check_files(
    sources: Sequence[SourceFile],
) -> Result[tuple[Document, ...], tuple[Finding, ...]]:
    """Return the documents of files, or the findings about them.

    The files are checked against each other only if each is valid on its own.
    """
    parsed = [parse_file(source) for source in sources]
    findings = [finding for result in parsed for finding in findings_of(result)]
    if findings:
        return Failure(tuple(findings))
    return check_documents([result.unwrap() for result in parsed])


def check_documents(
    documents: Sequence[Document],
) -> Result[tuple[Document, ...], tuple[Finding, ...]]:
    """Return the documents if they form a valid configuration, else the findings."""
    findings = _check_duplicate_names(documents)
    deployments = [doc for doc in documents if doc.name == DEPLOYMENT_NAME]
    if not deployments:
        message = "no deployment file is given and none is published"
        findings.append(Finding("", 0, 0, "deployment", message))
    account_ranks = {
        account.rank
        for _, _, account in _accounts_of(documents)
        if account.rank is not None
    }
    for doc in documents:
        if isinstance(doc.spec, ServiceSpec) and deployments:
            deployment = deployments[0].spec
            assert isinstance(deployment, DeploymentSpec)
            findings += _check_service(doc, doc.spec, deployment, account_ranks)
        if isinstance(doc.spec, AccountGroup) and deployments:
            findings += _check_home_regions(doc, deployments[0])
    findings += _check_shared_backends(documents)
    findings += _check_shared_accounts(documents)
    return Failure(tuple(findings)) if findings else Success(tuple(documents))


def findings_of(result: Result[object, tuple[Finding, ...]]) -> tuple[Finding, ...]:
    """Return the findings of a check, an empty tuple if it succeeded."""
    return result.failure() if isinstance(result, Failure) else ()


def configuration_of(
    version: int, chain: str, texts: Mapping[str, str]
) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the configuration that published documents form.

    texts maps document names to their canonical text.
    """
    parsed = [parse_document(name, text) for name, text in sorted(texts.items())]
    findings = [finding for result in parsed for finding in findings_of(result)]
    if findings:
        return Failure(tuple(findings))
    return check_documents([result.unwrap() for result in parsed]).map(
        lambda documents: _assembled_configuration(version, chain, documents)
    )


def _assembled_configuration(
    version: int, chain: str, documents: Iterable[Document]
) -> Configuration:
    services: dict[str, ServiceSpec] = {}
    deployment = DeploymentSpec("", (), ())
    accounts: list[AccountSpec] | None = None
    for document in documents:
        if isinstance(document.spec, ServiceSpec):
            services[document.spec.name] = document.spec
        elif isinstance(document.spec, AccountGroup):
            accounts = [*(accounts or ()), *document.spec.accounts]
        else:
            deployment = document.spec
    directory = None if accounts is None else AccountDirectory(accounts)
    return Configuration(version, chain, deployment, services, directory)


def _check_duplicate_names(documents: Sequence[Document]) -> list[Finding]:
    findings = []
    first: dict[str, Document] = {}
    for doc in documents:
        known = first.setdefault(doc.name, doc)
        if known is not doc:
            message = f"{doc.name} is already defined in {known.file}"
            findings.append(Finding(doc.file, 1, 1, "", message))
    return findings


def _check_service(
    doc: Document,
    service: ServiceSpec,
    deployment: DeploymentSpec,
    account_ranks: AbstractSet[Rank],
) -> Iterable[Finding]:
    log = _log_of(doc)
    _check_zones(log, service, deployment)
    _check_floors(log, service, deployment, account_ranks)
    _check_body_transfer_times(log, service, deployment)
    return log.findings()


def _check_zones(
    log: FindingLog, service: ServiceSpec, deployment: DeploymentSpec
) -> None:
    known = [zone.name for zone in deployment.zones]
    for zone in dict.fromkeys(backend.zone for backend in service.backends):
        if zone not in known:
            hint = nearest_hint(zone, known)
            message = f"availability zone {zone!r} is not in the deployment{hint}"
            log.add_at_key(f"endpoints.{zone}", message)
    if not service.backends:
        log.add_at_key("endpoints", "must list at least one endpoint")


def _check_floors(
    log: FindingLog,
    service: ServiceSpec,
    deployment: DeploymentSpec,
    account_ranks: AbstractSet[Rank],
) -> None:
    """Report regions with fewer slots than ranks whose floor is above 0.

    Requests of accounts may have the accounts' ranks, unless their kind is public.
    """
    regions = {zone.name: zone.region for zone in deployment.zones}
    slots: dict[str, int] = {}
    for backend in service.backends:
        region = regions.get(backend.zone, "")
        slots[region] = slots.get(region, 0) + backend.slots
    ranks = {kind.rank for kind in service.kinds}
    if not all(kind.public for kind in service.kinds):
        ranks |= account_ranks
    needed = sum(_min_slots(rank, deployment) for rank in ranks)
    for region, count in slots.items():
        if region and count < needed:
            floors = ", ".join(rank_name(rank) for rank in sorted(ranks))
            message = (
                f"{count} slots in region {region!r} are too few for the floors of "
                f"{floors}: {needed} are needed"
            )
            log.add_at_key("endpoints", message)


def _min_slots(rank: Rank, deployment: DeploymentSpec) -> int:
    return 1 if deployment.floors.of(rank) > 0 else 0


def _check_body_transfer_times(
    log: FindingLog, service: ServiceSpec, deployment: DeploymentSpec
) -> None:
    """Report kinds whose largest body cannot be sent over a link in time.

    Only kinds that must never be cut off are checked, against the slowest link.
    """
    slowest = min((link.mbit_per_s for link in deployment.links), default=None)
    if slowest is None:
        return
    for index, kind in enumerate(service.kinds):
        needed_ms = kind.max_body_bytes * 8 * 1_000 / (slowest * BITS_PER_MBIT)
        if "cut_off" in kind.never and needed_ms > kind.deadline_ms:
            message = (
                f"a body of {kind.max_body_bytes} bytes takes {needed_ms:.0f} ms over "
                f"a link of {slowest:g} Mbit/s, which exceeds the deadline of "
                f"{kind.deadline_ms} ms; 'cut_off' cannot be guaranteed"
            )
            log.add_at_key(f"kinds[{index}].max_body_bytes", message)


def _check_shared_backends(documents: Sequence[Document]) -> list[Finding]:
    """Report backend servers of different services with the same id or address."""
    findings = []
    owners: dict[str | tuple[str, int], str] = {}
    for doc in documents:
        if not isinstance(doc.spec, ServiceSpec):
            continue
        for backend in doc.spec.backends:
            for identifier in (backend.backend_id, (backend.host, backend.port)):
                owner = owners.setdefault(identifier, doc.name)
                if owner != doc.name:
                    label = (
                        identifier
                        if isinstance(identifier, str)
                        else f"{identifier[0]}:{identifier[1]}"
                    )
                    position = doc.positions.get(f"endpoints.{backend.zone}", (0, 0))
                    key = f"endpoints.{backend.zone}"
                    message = f"{label} already belongs to {owner}"
                    findings.append(Finding(doc.file, *position, key, message))
    return findings


def _accounts_of(
    documents: Sequence[Document],
) -> Iterator[tuple[Document, str, AccountSpec]]:
    """Yield each account with its document and its key there."""
    for doc in documents:
        if isinstance(doc.spec, AccountGroup):
            for index, account in enumerate(doc.spec.accounts):
                yield doc, f"client_accounts[{index}]", account


def _check_home_regions(doc: Document, deployment: Document) -> Iterable[Finding]:
    assert isinstance(deployment.spec, DeploymentSpec)
    known = [region.name for region in deployment.spec.regions]
    log = _log_of(doc)
    for _, key, account in _accounts_of([doc]):
        for region in account.home_regions or ():
            if region not in known:
                message = (
                    f"account {account.name!r}: unknown region {region!r}"
                    f"{nearest_hint(region, known)}"
                )
                log.add_at_key(f"{key}.home_regions", message)
    return log.findings()


def _check_shared_accounts(documents: Sequence[Document]) -> list[Finding]:
    """Report names and keys of accounts that occur more than once."""
    names: dict[str, Document] = {}
    owners: dict[bytes, str] = {}
    findings: list[Finding] = []
    for doc, key, account in _accounts_of(documents):
        log = _log_of(doc)
        first = names.get(account.name)
        if first is not None:
            message = f"account {account.name!r} is already defined in {first.file}"
            log.add_at_key(f"{key}.name", message)
        names.setdefault(account.name, doc)
        others = {owners.setdefault(d, account.name) for d in account.key_digests}
        for other in sorted(others - {account.name}):
            message = f"account {account.name!r} shares a key with account {other!r}"
            log.add_at_key(f"{key}.keys", message)
        findings += log.findings()
    return findings


def _log_of(doc: Document) -> FindingLog:
    """Return a log of findings that knows the positions of a document's keys."""
    log = FindingLog(doc.file)
    for key, position in doc.positions.items():
        log.record_position(key, position)
    return log
