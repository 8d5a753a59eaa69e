"""Parsing of account files: client accounts with the digests of their keys."""

import re

from rhubarbwell_core.model import (
    AccountGroup,
    AccountSpec,
    Rank,
    key_digest,
    rank_from_name,
)

from rhubarbwell_platform.documents.fields import NAME_PATTERN, FieldReader
from rhubarbwell_platform.documents.service_files import (
    FORMAT_RANGE,
    FORMAT_VERSION,
    RANK_NAMES,
)

__all__ = ["DIGEST_PREFIX", "read_accounts"]

DIGEST_PREFIX = "sha256:"
MAX_KEY_CHARS = 256
_DIGEST = re.compile(r"[0-9a-fA-F]{64}")
# Other characters do not arrive unchanged in a header.
_KEY = re.compile(rf"[!-~]{{1,{MAX_KEY_CHARS}}}")


def read_accounts(fields: FieldReader) -> AccountGroup:
    """Return the accounts of an object; invalid fields are reported as findings.

    Keys are replaced by their digests. No finding quotes a key, a digest or a name that
    may be a key by mistake.
    """
    fields.integer("format", FORMAT_RANGE, default=FORMAT_VERSION)
    name = fields.name("accounts")
    if not name:
        fields.add_finding("accounts", "must name the group of accounts")
    if not fields.has("client_accounts"):
        fields.add_finding("client_accounts", "is missing: a list")
    accounts = tuple(map(_read_account, fields.objects("client_accounts")))
    fields.report_unknown_fields()
    return AccountGroup(name, accounts)


def _read_account(fields: FieldReader) -> AccountSpec:
    name = fields.text("name")
    if fields.has("name") and not NAME_PATTERN.fullmatch(name):
        fields.add_finding("name", f"must match {NAME_PATTERN.pattern}")
        name = ""
    account = AccountSpec(
        name, _read_keys(fields, name), _read_rank(fields), _read_home_regions(fields)
    )
    fields.report_unknown_fields()
    return account


def _read_keys(fields: FieldReader, account: str) -> tuple[bytes, ...]:
    digests: set[bytes] = set()
    for key, text in fields.texts_by_key("keys", required=True).items():
        digest = _digest_of(text)
        message = ""
        if digest is None and text.startswith(DIGEST_PREFIX):
            message = f"{DIGEST_PREFIX!r} must be followed by 64 hexadecimal digits"
        elif digest is None:
            message = f"a key has 1 to {MAX_KEY_CHARS} visible ASCII characters"
        elif digest in digests:
            message = "the key is listed more than once"
        else:
            digests.add(digest)
        if message:
            fields.log.add_at_key(key, f"account {account!r}: {message}")
    return tuple(sorted(digests))


def _digest_of(text: str) -> bytes | None:
    """Return the digest of a key or digest in a file, None if it is malformed."""
    if text.startswith(DIGEST_PREFIX):
        digits = text.removeprefix(DIGEST_PREFIX)
        return bytes.fromhex(digits) if _DIGEST.fullmatch(digits) else None
    return key_digest(text) if _KEY.fullmatch(text) else None


def _read_rank(fields: FieldReader) -> Rank | None:
    if not fields.has("rank"):
        return None
    return rank_from_name(fields.choice("rank", RANK_NAMES))


def _read_home_regions(fields: FieldReader) -> tuple[str, ...] | None:
    if not fields.has("home_regions"):
        return None
    regions = fields.texts("home_regions", required=True)
    if len(set(regions)) < len(regions):
        fields.add_finding("home_regions", "must not list a region more than once")
    return regions
