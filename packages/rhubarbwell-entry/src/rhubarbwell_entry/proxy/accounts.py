"""Identify the client accounts of requests in the active configuration."""

import logging
from collections.abc import Callable

from aiohttp import web
from rhubarbwell_core.messages import AttemptEnd, RequestArrived
from rhubarbwell_core.model import (
    AccountSpec,
    Configuration,
    Outcome,
    Reason,
    WorkKind,
)

from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.proxy.exchanges import Exchange
from rhubarbwell_entry.proxy.headers import API_KEY_HEADER
from rhubarbwell_entry.proxy.peers import PeerHop
from rhubarbwell_entry.proxy.problems import problem_status

__all__ = ["AccountCheck", "AccountObserver", "arrival_of_account"]

_log = logging.getLogger(__name__)

# Optional whitespace around the value of a header field (RFC 9110).
OPTIONAL_WHITESPACE = " \t"


class AccountObserver:
    """Record the requests of accounts and those without one; by default, nothing."""

    def record_account_request(self, account: str, outcome: Outcome) -> None:
        """Record the outcome of a caller's request of an account."""

    def record_unknown_key(self, reason: str, status: int) -> None:
        """Record a caller's request that was refused because of its key."""


class AccountCheck:
    """Find the account of a request, or why the request must not run.

    read_configuration returns the active configuration, which decides each time, also
    on whether the kind of a request is public.
    """

    def __init__(
        self,
        region: str,
        read_configuration: Callable[[], Configuration | None],
        observer: AccountObserver,
    ) -> None:
        self.observer = observer
        self._region = region
        self._read_configuration = read_configuration

    def identify_caller(
        self, request: web.BaseRequest, service: str, kind: WorkKind
    ) -> AccountSpec | Reason | None:
        """Return the account of a caller's request, None if it needs none."""
        cfg = self._read_configuration()
        if cfg is None or cfg.accounts is None or _is_public(cfg, service, kind):
            return None
        keys = request.headers.getall(API_KEY_HEADER, ())
        account = None
        if len(keys) == 1:
            account = cfg.accounts.find(keys[0].strip(OPTIONAL_WHITESPACE))
        if account is not None:
            return account
        reason = "unknown_key"
        if len(keys) != 1:
            reason = "several_keys" if keys else "no_key"
        self._refuse(cfg, service, kind, reason)
        return Reason.UNKNOWN_ACCOUNT

    def identify_hop(
        self, hop: PeerHop, service: str, kind: WorkKind
    ) -> AccountSpec | Reason | None:
        """Return the account that a peer's request names, None if it needs none.

        The configurations of the peer and of this instance may differ, so an account
        that is missing here may exist.
        """
        cfg = self._read_configuration()
        if cfg is None or cfg.accounts is None or _is_public(cfg, service, kind):
            return None
        account = cfg.accounts.named(hop.account)
        if account is not None:
            return account
        log_event(
            _log,
            logging.WARNING,
            "peer_account_unknown",
            "refused a peer's request without an account of this configuration",
            peer=hop.instance_id,
            service=service,
            account=hop.account,
            config_version=cfg.version,
        )
        return Reason.NOT_READY

    def identify_again(self, exchange: Exchange) -> Reason | None:
        """Update the account of an exchange that waits to be sent.

        Returns why the request must not run any more; then it has no account.
        """
        service, kind, hop = exchange.arrival.service, exchange.kind, exchange.hop
        if hop is None:
            account = self.identify_caller(exchange.request, service, kind)
        else:
            account = self.identify_hop(hop, service, kind)
        if isinstance(account, Reason):
            exchange.account = None
            return account
        exchange.account = account
        return self.region_refusal(account, service)

    def region_refusal(
        self, account: AccountSpec | None, service: str
    ) -> Reason | None:
        """Return HOME_REGION if this region is no home region of the account."""
        if account is None or account.is_at_home(self._region):
            return None
        log_event(
            _log,
            logging.WARNING,
            "home_region_refused",
            "refused a request outside of the home regions of its account",
            service=service,
            account=account.name,
            region=self._region,
        )
        return Reason.HOME_REGION

    def refused_end(self, exchange: Exchange) -> AttemptEnd | None:
        """Return how an attempt ends whose request must not run, None if it may.

        The key must not have moved to another account, as the core and the digest for
        repeats use the account that the request had when it arrived.
        """
        reason = self.identify_again(exchange)
        known = exchange.arrival.account
        if reason is None:
            has_moved = known and exchange.account and exchange.account.name != known
            return AttemptEnd.ACCOUNT_REFUSED if has_moved else None
        if reason is Reason.HOME_REGION:
            return AttemptEnd.REGION_REFUSED
        return AttemptEnd.ACCOUNT_REFUSED

    def _refuse(
        self, cfg: Configuration, service: str, kind: WorkKind, reason: str
    ) -> None:
        log_event(
            _log,
            logging.WARNING,
            "request_refused",
            "the request has no key of an account",
            service=service,
            kind=kind.name,
            reason=reason,
            config_version=cfg.version,
        )
        status = problem_status(Outcome.NOT_RUN, Reason.UNKNOWN_ACCOUNT)
        self.observer.record_unknown_key(reason, status)


def arrival_of_account(
    arrival: RequestArrived, kind: WorkKind, account: AccountSpec | None
) -> RequestArrived:
    """Return an arrival with the account's name, rank and home regions."""
    if account is None:
        return arrival._replace(account="", home_regions=None, rank=kind.rank)
    return arrival._replace(
        account=account.name,
        home_regions=account.home_regions,
        rank=kind.rank if account.rank is None else account.rank,
    )


def _is_public(cfg: Configuration, service: str, kind: WorkKind) -> bool:
    """Return True if the kind is public, in the configuration if it has the kind."""
    spec = cfg.services.get(service)
    kinds = () if spec is None else spec.kinds
    return next((item for item in kinds if item.name == kind.name), kind).public
