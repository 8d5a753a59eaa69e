"""Compute digests that detect different requests under one idempotency key."""

import hashlib

from rhubarbwell_core.messages import RequestArrived

from rhubarbwell_entry.proxy.bodies import MAX_REPLAY_BYTES
from rhubarbwell_entry.proxy.exchanges import Exchange

__all__ = ["arrival_with_body_digest", "digest_with_account"]


async def arrival_with_body_digest(exchange: Exchange) -> RequestArrived:
    """Return the exchange's RequestArrived with a digest of method, path and body.

    The digest tells nothing of the account, see digest_with_account.

    A body that exceeds MAX_REPLAY_BYTES or has no known length contributes only
    its length and its Content-Digest header. Raises CallerGoneError if the caller
    disconnects during the body.
    """
    request, arrival = exchange.request, exchange.arrival
    digest = hashlib.sha256(f"{request.method} {exchange.path}\n".encode())
    size = arrival.body_bytes
    if size is not None and size <= MAX_REPLAY_BYTES:
        digest.update(await exchange.body.read_if_replayable() or b"")
    else:
        digest.update(f"length {size} ".encode())
        digest.update(request.headers.get("Content-Digest", "").encode())
    return arrival._replace(body_digest=digest.hexdigest())


def digest_with_account(arrival: RequestArrived) -> RequestArrived:
    """Return an arrival whose digest differs from that of other accounts' requests.

    The scope of an idempotency key does not contain the account: a repeat of a request
    that came before accounts were active must not run again. It is refused instead.
    """
    if not arrival.account:
        return arrival
    digest = hashlib.sha256(f"{arrival.body_digest} {arrival.account}".encode())
    return arrival._replace(body_digest=digest.hexdigest())
