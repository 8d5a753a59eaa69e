"""Commands that publish files, rollbacks and drains."""

import uuid
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure
from rhubarbwell_core.adoption import LogHead
from rhubarbwell_core.model import ServiceSpec
from rhubarbwell_platform import Platform
from rhubarbwell_platform.documents import (
    ACCOUNTS_PREFIX,
    SERVICE_PREFIX,
    Finding,
    encode_document,
    parse_document,
)
from rhubarbwell_platform.publishing import (
    Change,
    Published,
    PublishedState,
    differences,
    fence_head,
    format_differences,
    merge_documents,
    publish,
    read_state,
    rollback_change,
)

from rhubarbwell_ops.commands.check import checked_documents, findings_report
from rhubarbwell_ops.commands.failures import failure_report
from rhubarbwell_ops.exits import ExitCode, Report
from rhubarbwell_ops.instances import (
    Adoption,
    InstanceStatus,
    adoption_summary,
    find_instance_ahead,
    is_in_force,
    statuses_json,
    wait_until_in_force,
)

__all__ = ["PublishOptions", "drain", "publish_files", "rollback"]


class PublishOptions(NamedTuple):
    """Hold the author, time and other options of a publish.

    With wait_s above 0, the command waits up to that time until the new version is in
    force everywhere. force publishes even if an instance has a newer version in force
    than the store.
    """

    author: str
    at_ms: int
    publish_id: str = ""
    base_version: int | None = None
    dry_run: bool = False
    wait_s: float = 0.0
    force: bool = False


async def publish_files(
    platform: Platform,
    paths: Sequence[str],
    options: PublishOptions,
    *,
    remove: Sequence[str] = (),
) -> Report:
    """Publish files and remove services by name and account files by document."""
    base = await _read_base(platform, options)
    removals: dict[str, str | None] = dict.fromkeys(map(_removed_document, remove))
    unknown = [name for name in removals if name not in base.documents]
    if unknown:
        message = f"{', '.join(unknown)} is not published"
        return findings_report([Finding("", 0, 0, "remove", message)])
    documents: dict[str, str | None] = dict(removals)
    if paths or not removals:
        checked = checked_documents(paths, _without_documents(base, removals))
        if isinstance(checked, Failure):
            return findings_report(checked.failure())
        documents |= {document.name: document.text for document in checked.unwrap()}
    return await _publish(platform, documents, base, options)


async def rollback(platform: Platform, version: int, options: PublishOptions) -> Report:
    """Publish the documents of an older version as a new version."""
    base = await _read_base(platform, options)
    target = await read_state(platform, version=version)
    change = await rollback_change(
        platform, _make_change({}, options), target=target, base=base
    )
    return await _publish(platform, change.documents, base, options)


async def drain(
    platform: Platform, backend_id: str, options: PublishOptions, *, undo: bool = False
) -> Report:
    """Publish that a backend server starts draining or serves new requests again."""
    base = await _read_base(platform, options)
    for name, text in base.documents.items():
        spec = parse_document(name, text).unwrap().spec
        if isinstance(spec, ServiceSpec) and _has_backend(spec, backend_id):
            updated = _with_draining(spec, backend_id, draining=not undo)
            documents = {name: encode_document(updated)}
            return await _publish(platform, documents, base, options)
    message = f"no published service has a backend server {backend_id!r}"
    return findings_report([Finding("", 0, 0, "backend_id", message)])


async def _read_base(platform: Platform, options: PublishOptions) -> PublishedState:
    """Return the published state that the change is based on.

    If a publish id is given and this is no dry run, first fence the head, so that an
    earlier attempt with this id can no longer take effect. Raises PlatformError or
    InvalidLogError.
    """
    if options.publish_id and not options.dry_run:
        await fence_head(platform.tables)
    return await read_state(platform, version=options.base_version)


async def _publish(
    platform: Platform,
    documents: Mapping[str, str | None],
    base: PublishedState,
    options: PublishOptions,
) -> Report:
    if options.dry_run:
        return _dry_run_report(documents, base)
    ahead = (
        None
        if options.force
        else await find_instance_ahead(platform.instances, base.head)
    )
    if ahead is not None and options.base_version is None:
        return _instance_ahead_report(ahead, base)
    change = _make_change(documents, options)
    result = await publish(platform, change, base=base)
    if isinstance(result, Failure):
        return failure_report(result.failure())
    return await _published_report(platform, change, result.unwrap(), options)


async def _published_report(
    platform: Platform, change: Change, published: Published, options: PublishOptions
) -> Report:
    text = _publish_summary(change, published)
    fields = {"publish_id": change.publish_id, **published._asdict()}
    if not options.wait_s:
        return Report(ExitCode.DONE, text, fields)
    head = LogHead(published.version, published.chain)
    statuses = await wait_until_in_force(
        platform.instances, head, timeout_s=options.wait_s
    )
    lines = [text, adoption_summary(statuses)]
    lines += [
        f"{status.adoption.value}: {status.instance_id} in {status.zone}"
        for status in statuses
        if status.adoption is not Adoption.IN_FORCE
    ]
    all_in_force = all(is_in_force(status) for status in statuses)
    exit_code = ExitCode.DONE if all_in_force else ExitCode.NOT_IN_FORCE
    fields["instances"] = statuses_json(statuses)
    return Report(exit_code, "\n".join(lines), fields)


def _instance_ahead_report(ahead: InstanceStatus, base: PublishedState) -> Report:
    text = (
        f"nothing was published: {ahead.instance_id} has version "
        f"{ahead.config_version} in force, the store is at {base.head.version}; "
        "the instances bring a store that lost versions up to date on their own: "
        "try again in a few seconds, or use --force"
    )
    return Report(ExitCode.NOT_DONE, text, {"instances": statuses_json([ahead])})


def _dry_run_report(
    documents: Mapping[str, str | None], base: PublishedState
) -> Report:
    merged = merge_documents(base.documents, documents)
    key_differences = differences(base.documents, merged)
    text = (
        format_differences(key_differences) or "nothing differs from what is published"
    )
    fields = {
        "base_version": base.head.version,
        "differences": [difference._asdict() for difference in key_differences],
    }
    return Report(ExitCode.DONE, text, fields)


def _publish_summary(change: Change, published: Published) -> str:
    if not published.changed:
        return f"nothing differs from version {published.version}"
    verb = "had published" if published.repeated else "published"
    names = ", ".join(published.changed)
    return f"{verb} version {published.version} as {change.publish_id}: {names}"


def _make_change(
    documents: Mapping[str, str | None], options: PublishOptions
) -> Change:
    publish_id = options.publish_id or uuid.uuid4().hex
    return Change(publish_id, options.author, options.at_ms, documents)


def _removed_document(name: str) -> str:
    """Return the name of the document that a name in the list of removals means.

    >>> _removed_document("paysvc"), _removed_document("accounts/partners")
    ('service/paysvc', 'accounts/partners')
    """
    if name.startswith(ACCOUNTS_PREFIX):
        return name
    return f"{SERVICE_PREFIX}{name}"


def _without_documents(
    base: PublishedState, removals: Mapping[str, str | None]
) -> PublishedState:
    remaining = {
        name: text for name, text in base.documents.items() if name not in removals
    }
    return base._replace(documents=remaining)


def _has_backend(spec: ServiceSpec, backend_id: str) -> bool:
    return any(backend.backend_id == backend_id for backend in spec.backends)


def _with_draining(
    spec: ServiceSpec, backend_id: str, *, draining: bool
) -> ServiceSpec:
    backends = tuple(
        backend._replace(draining=draining)
        if backend.backend_id == backend_id
        else backend
        for backend in spec.backends
    )
    return spec._replace(backends=backends)
