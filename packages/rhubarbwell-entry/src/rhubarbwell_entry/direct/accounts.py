"""Identification of the client accounts of requests by their keys."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from aiohttp import web
from rhubarbwell_core.direct import (
    ActiveRequest,
    ClientAccount,
    LoadBalancer,
    Route,
    copied_random,
)

from rhubarbwell_entry.direct.wire import WireNames
from rhubarbwell_entry.logs import log_event

__all__ = ["AccountCheck", "UnknownKey"]

_log = logging.getLogger(__name__)

# Range of the time after which a caller whose key may be new tries again. Until then,
# the instance may reach the store or a peer again, or the caller another instance.
MIN_STALE_RETRY_MS = 200
MAX_STALE_RETRY_MS = 600
# A process that has not run for this time was paused: the event loop is never so late.
MIN_PAUSE_MS = 1_000
# Time after a pause in which the store or a peer gives the current configuration, with
# one call that fails at its timeout.
MAX_WAIT_MS = 1_500
WAIT_STEP_S = 0.02
# Optional whitespace around the value of a header field (RFC 9110).
OPTIONAL_WHITESPACE = " \t"


class UnknownKey(NamedTuple):
    """Hold why a request has no account.

    retry_after_ms is the time in ms after which to retry if the key may be newer than
    this instance's copy of the configuration, else None.
    """

    reason: str
    retry_after_ms: int | None = None


class AccountCheck:
    """Find the accounts of requests in the configuration in force.

    config_age_ms returns the time since the copy of the configuration matched the
    store's. Above max_age_ms, a key that is unknown may be new.
    """

    def __init__(
        self,
        names: WireNames,
        balancer: LoadBalancer,
        config_age_ms: Callable[[], int],
        max_age_ms: int,
        rng: Random,
        clock_ms: Callable[[], int],
    ) -> None:
        self._names = names
        self._balancer = balancer
        self._config_age_ms = config_age_ms
        self._max_age_ms = max_age_ms
        self._rng = rng
        self._clock_ms = clock_ms
        self._noted_ms = clock_ms()
        # Time up to which requests wait for a copy of the configuration.
        self._wait_end_ms = 0

    def note_time(self, now_ms: int) -> None:
        """Note that the process runs; to be called several times a second."""
        if now_ms - self._noted_ms > MIN_PAUSE_MS:
            self._wait_end_ms = now_ms + MAX_WAIT_MS
        self._noted_ms = now_ms

    async def wait_after_pause(self) -> None:
        """Wait for a current configuration if the process was paused for long.

        A key may have been revoked meanwhile. An instance that cannot reach the store
        or a peer goes on with the configuration that it has.
        """
        self.note_time(self._clock_ms())
        if self._balancer.accounts is None:
            return
        while (
            self._config_age_ms() > self._max_age_ms
            and self._clock_ms() < self._wait_end_ms
        ):
            await asyncio.sleep(WAIT_STEP_S)
            self.note_time(self._clock_ms())

    def identify(
        self, request: web.BaseRequest, route: Route
    ) -> ClientAccount | UnknownKey | None:
        """Return the account of a request on a route, None if it needs none.

        The configuration in force decides, also on a route of an earlier one.
        """
        accounts, routes = self._balancer.accounts, self._balancer.routes
        if accounts is None or routes is None:
            return None
        if (routes.find(request.host, request.raw_path) or route).is_public:
            return None
        keys = request.headers.getall(self._names.account_key, ())
        account = None
        if len(keys) == 1:
            account = accounts.find(keys[0].strip(OPTIONAL_WHITESPACE))
        if account is not None:
            return account
        reason = "unknown_key"
        if len(keys) != 1:
            reason = "several_keys" if keys else "no_key"
        return self._refuse(request, route, reason)

    def preview(self, name: str, route: Route) -> ClientAccount | UnknownKey | None:
        """Return what `identify` would for a request with a key of a named account.

        An empty name stands for a request without a key.
        """
        config = self._balancer.config
        if self._balancer.accounts is None or config is None or route.is_public:
            return None
        for account in config.accounts or ():
            if account.name == name:
                return account
        reason = "unknown_key" if name else "no_key"
        return UnknownKey(reason, self._stale_retry_ms(copied_random(self._rng)))

    def identify_again(
        self, req: ActiveRequest, request: web.BaseRequest
    ) -> UnknownKey | None:
        """Update the account of a request that waits to be forwarded.

        Returns why it has none any more. A request that has been forwarded keeps the
        account that it had.
        """
        if self._balancer.accounts is not None:
            req.uses_accounts = True
        if req.attempts:
            return None
        account = self.identify(request, req.route)
        if isinstance(account, UnknownKey):
            return account
        if account is not req.account:
            req.set_account(account)
        return None

    def _refuse(
        self, request: web.BaseRequest, route: Route, reason: str
    ) -> UnknownKey:
        config = self._balancer.config
        assert config is not None
        age_ms = self._config_age_ms()
        retry_after_ms = self._stale_retry_ms(self._rng)
        log_event(
            _log,
            logging.WARNING,
            "request_refused",
            "the request has no key of an account",
            request_id=request.headers.get(self._names.request_id, ""),
            route=route.name,
            reason=reason,
            config_version=config.version,
            config_age_ms=age_ms,
            is_config_stale=retry_after_ms is not None,
        )
        return UnknownKey(reason, retry_after_ms)

    def _stale_retry_ms(self, rng: Random) -> int | None:
        """Return when to retry with an unknown key that may be new, else None."""
        if self._config_age_ms() <= self._max_age_ms:
            return None
        return round(rng.uniform(MIN_STALE_RETRY_MS, MAX_STALE_RETRY_MS))
