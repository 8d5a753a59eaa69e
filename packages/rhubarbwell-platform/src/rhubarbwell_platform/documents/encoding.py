"""Canonical JSON encoding of documents, used for publishing and digests."""

import json
from typing import Any

from rhubarbwell_core.model import (
    AccountGroup,
    AccountSpec,
    BackendSpec,
    DeploymentSpec,
    RegionSpec,
    ServiceSpec,
    WorkKind,
    rank_name,
)

from rhubarbwell_platform.documents.account_files import DIGEST_PREFIX
from rhubarbwell_platform.documents.service_files import FORMAT_VERSION

__all__ = [
    "ACCOUNTS_PREFIX",
    "DEPLOYMENT_NAME",
    "SERVICE_PREFIX",
    "document_name",
    "encode_document",
]

DEPLOYMENT_NAME = "deployment"
SERVICE_PREFIX = "service/"
ACCOUNTS_PREFIX = "accounts/"


def document_name(spec: ServiceSpec | DeploymentSpec | AccountGroup) -> str:
    """Return the name of a document in the log.

    >>> document_name(ServiceSpec("slotsvc", (), ()))
    'service/slotsvc'
    """
    if isinstance(spec, DeploymentSpec):
        return DEPLOYMENT_NAME
    prefix = ACCOUNTS_PREFIX if isinstance(spec, AccountGroup) else SERVICE_PREFIX
    return f"{prefix}{spec.name}"


def encode_document(spec: ServiceSpec | DeploymentSpec | AccountGroup) -> str:
    """Return the canonical JSON text of a document.

    Defaults are included, except those of fields that earlier builds do not know.
    """
    if isinstance(spec, DeploymentSpec):
        fields = _deployment_fields(spec)
    elif isinstance(spec, AccountGroup):
        fields = _account_group_fields(spec)
    else:
        fields = _service_fields(spec)
    return json.dumps(fields, sort_keys=True, separators=(",", ":"))


def _service_fields(spec: ServiceSpec) -> dict[str, Any]:
    endpoints: dict[str, list[dict[str, Any]]] = {}
    for backend in spec.backends:
        endpoints.setdefault(backend.zone, []).append(_backend_fields(backend))
    return {
        "format": FORMAT_VERSION,
        "service": spec.name,
        "description": spec.description,
        "health_path": spec.health_path,
        "load_path": spec.load_path,
        "kinds": [_kind_fields(kind) for kind in spec.kinds],
        "endpoints": endpoints,
    }


def _backend_fields(backend: BackendSpec) -> dict[str, Any]:
    fields = backend._asdict()
    fields["id"] = fields.pop("backend_id")
    del fields["zone"]
    return fields


def _kind_fields(kind: WorkKind) -> dict[str, Any]:
    fields = {**kind._asdict(), "rank": rank_name(kind.rank)}
    if not kind.public:
        del fields["public"]  # Earlier builds refuse documents with unknown fields.
    return fields


def _account_group_fields(group: AccountGroup) -> dict[str, Any]:
    return {
        "format": FORMAT_VERSION,
        "accounts": group.name,
        "client_accounts": [_account_fields(account) for account in group.accounts],
    }


def _account_fields(account: AccountSpec) -> dict[str, Any]:
    keys = [f"{DIGEST_PREFIX}{digest.hex()}" for digest in account.key_digests]
    fields: dict[str, Any] = {"name": account.name, "keys": keys}
    if account.rank is not None:
        fields["rank"] = rank_name(account.rank)
    if account.home_regions is not None:
        fields["home_regions"] = list(account.home_regions)
    return fields


def _deployment_fields(spec: DeploymentSpec) -> dict[str, Any]:
    return {
        "format": FORMAT_VERSION,
        "deployment": spec.name,
        "regions": [_region_fields(spec, region) for region in spec.regions],
        "links": [
            {
                "between": [link.first, link.second],
                "mbit_per_s": link.mbit_per_s,
                "delay_ms": link.delay_ms,
            }
            for link in spec.links
        ],
        "sites": _encoded_sites(spec),
        "floors": spec.floors._asdict(),
        "shift_cap_per_s": spec.shift_cap_per_s,
        "cold_start_growth_per_s": spec.cold_start_growth_per_s,
        "look_up_ttl_ms": spec.look_up_ttl_ms,
        "measurement_max_age_ms": spec.measurement_max_age_ms,
    }


def _region_fields(spec: DeploymentSpec, region: RegionSpec) -> dict[str, Any]:
    zones = [
        {"name": zone.name, "entry_instances": zone.entry_instances}
        for zone in spec.zones
        if zone.region == region.name
    ]
    return {**region._asdict(), "zones": zones}


def _encoded_sites(spec: DeploymentSpec) -> list[dict[str, Any]]:
    blocks: dict[str, list[str]] = {}
    for block in spec.client_blocks:
        blocks.setdefault(block.site, []).append(block.prefix)
    return [
        {
            "name": site.name,
            "zones": list(site.zones),
            "blocks": blocks.get(site.name, []),
        }
        for site in spec.sites
    ]
