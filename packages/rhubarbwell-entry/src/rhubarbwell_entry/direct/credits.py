"""Tokens of client accounts for requests, and their exchange between instances."""

import asyncio
import json
import logging
from collections import defaultdict, deque
from collections.abc import Callable, Mapping
from math import floor, isfinite
from random import Random
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web
from opentelemetry.metrics import Observation
from rhubarbwell_core.direct import (
    AccountQuotas,
    ClientAccount,
    CreditGrant,
    CreditQuery,
    InstanceTable,
    LeaseReturn,
    LoadBalancer,
    QuotaMember,
    QuotaRule,
    QuotaShares,
    QuotaToken,
    RateGrant,
    RoutingConfig,
)
from rhubarbwell_core.errors import DECODING_ERRORS, RhubarbwellError
from rhubarbwell_core.model import Address, host_port
from rhubarbwell_platform.http import SocketTimeout

from rhubarbwell_entry.clocks import boot_clock_ms
from rhubarbwell_entry.direct.metrics import DirectMetrics
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.tasks import BackgroundTasks

__all__ = [
    "CREDITS_PATH",
    "CreditsAnswer",
    "CreditsClient",
    "CreditsError",
    "CreditsUnsupportedError",
    "QuotaGate",
    "QuotaRefusal",
]

_log = logging.getLogger(__name__)

CREDITS_PATH = "/credits"
# Hundreds of accounts in one query.
MAX_QUERY_BYTES = 256 << 10
# Four round trips between regions; tokens of large accounts are void by then.
QUERY_TIMEOUT_MS = 300
# Longest and shortest time between two looks at the accounts that are short of tokens;
# the shortest applies while requests arrive that need some.
TICK_MS = 50
MIN_PAUSE_MS = 5
# Time for a connection and a trip to another region after an empty answer of an
# instance nearby, where the request's objective leaves it.
MAX_WAIT_MS = 150
# A round trip between regions, also for requests with a small objective.
MIN_WAIT_MS = 80
MAX_WAIT_SHARE = 0.25
# No request waits longer than this share of what is left of its time.
MAX_REMAINING_SHARE = 0.3
# An account is reported as within its quota after this time without a refusal.
WITHIN_QUOTA_MS = 10_000
# Accounts of the largest rates have series of their own, the others one in sum.
MAX_ACCOUNT_SERIES = 20
OTHER_ACCOUNTS = "(others)"
MS_PER_S = 1_000
# Readings of two clocks that are further apart are not compared.
MAX_READING_MS = 5
# More leases of an account than one giver has given in their time.
MAX_RETURNED_IDS = 64


class CreditsAnswer(NamedTuple):
    """Hold the tokens and the leases of an answer, by account."""

    grants: dict[str, CreditGrant]
    leases: dict[str, RateGrant]


class CreditsError(RhubarbwellError):
    """Report that an instance gave no valid answer to a query for tokens."""


class CreditsUnsupportedError(CreditsError):
    """Report that the program of an instance does not know queries for tokens."""


class QuotaRefusal(NamedTuple):
    """Hold the time in ms after which a refused request may be repeated.

    is_over_quota is False if this instance earns no tokens yet, so that it does not
    know whether the account is over its quota.
    """

    retry_after_ms: int
    is_over_quota: bool = True


class CreditsClient:
    """Ask other entry instances for tokens."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def ask(
        self, address: Address, query: CreditQuery, own_id: str, timeout_ms: int
    ) -> CreditsAnswer:
        """Return what the instance at an address gives; raise CreditsError."""
        url = f"http://{host_port(address)}{CREDITS_PATH}"
        body = _compact_json(_query_fields(query, own_id))
        try:
            async with (
                SocketTimeout(timeout_ms / MS_PER_S),
                self._session.post(url, data=body) as resp,
            ):
                if resp.status == 404:
                    raise CreditsUnsupportedError("the instance has no such path")
                resp.raise_for_status()
                return _decode_answer(await resp.json())
        except (aiohttp.ClientError, TimeoutError, *DECODING_ERRORS) as exc:
            raise CreditsError(repr(exc)) from exc


class QuotaGate:
    """Admit requests within the quotas of their accounts.

    A request takes a token of its account, and waits a short time if other instances
    may have one. Accounts without a quota, and requests without an account, pass.
    """

    def __init__(
        self,
        own: QuotaMember,
        rule: QuotaRule,
        balancer: LoadBalancer,
        instances: InstanceTable,
        client: CreditsClient,
        tasks: BackgroundTasks,
        metrics: DirectMetrics,
        clock_ms: Callable[[], int],
        *,
        rng: Random,
        is_first_start: bool = False,
        boot_clock_ms: Callable[[], int] = boot_clock_ms,
    ) -> None:
        self._own_id = own.instance_id
        self._boot_clock_ms = boot_clock_ms
        self._shares = QuotaShares(own.instance_id, rule, is_first_start=is_first_start)
        self._quotas = AccountQuotas(own, self._shares, rng)
        self._balancer = balancer
        self._instances = instances
        self._client = client
        self._tasks = tasks
        self._metrics = metrics
        self._clock_ms = clock_ms
        self._config: RoutingConfig | None = None
        self._series: dict[str, str] = {}
        self._addresses: dict[str, Address] = {}
        self._waiters: dict[str, deque[asyncio.Future[QuotaToken | None]]] = (
            defaultdict(deque)
        )
        self._is_short = asyncio.Event()
        # Time of the last refusal of each account that is over its quota.
        self._refused_ms: dict[str, int] = {}
        metrics.add_gauge(
            "rhubarbwell.account.tokens",
            "{request}",
            "Requests that this instance may admit now, by account.",
            self._observe_tokens,
        )
        metrics.add_gauge(
            "rhubarbwell.account.share",
            "{request}/s",
            "Part of the account's rate that this instance earns.",
            self._observe_shares,
        )

    def update(
        self,
        confirmed_ms: int | None,
        *,
        was_listed: bool = False,
        listed_ms: int | None = None,
    ) -> None:
        """Apply the present instances and configuration; call this every 250 ms.

        confirmed_ms is the time in ms at which this instance's row was last known to
        be in the store, None if it was not since the start. was_listed is True if the
        row was listed before this process wrote it. listed_ms is the time in ms up to
        which that list was current, None if the row may have been removed since.
        """
        self._apply_config()
        now_ms = self._now_ms()
        entries = self._instances.budget_entries()
        self._addresses = {entry.instance_id: entry.control for entry in entries}
        members = [QuotaMember(e.instance_id, e.zone, e.region) for e in entries]
        was_earning = self._shares.is_earning
        live_ids = self._instances.live_ids()
        self._shares.update(
            members,
            live_ids,
            confirmed_ms,
            now_ms,
            was_listed=was_listed,
            listed_ms=listed_ms,
        )
        if self._shares.is_earning != was_earning:
            self._log_earning(confirmed_ms, now_ms)
        for name, refused_ms in list(self._refused_ms.items()):
            if now_ms - refused_ms >= WITHIN_QUOTA_MS:
                del self._refused_ms[name]
                log_event(
                    _log,
                    logging.INFO,
                    "account_within_quota",
                    "this instance refuses no more requests of the account",
                    account=name,
                )

    def check(
        self, account: ClientAccount | None, objective_ms: int, remaining_ms: int
    ) -> QuotaRefusal | None:
        """Count a request; return a refusal if its account is clearly over its quota.

        This is called once for each request, before its body is read.
        """
        if not self._has_quota(account):
            return None
        assert account is not None
        now_ms = self._now_ms()
        self._quotas.add_request(account.name, now_ms)
        max_wait_ms = _max_wait_ms(objective_ms, remaining_ms)
        if self._quotas.may_get_token(account.name, max_wait_ms, now_ms):
            return None
        # Tokens for the requests that follow are asked for.
        self._is_short.set()
        return self._refuse(account.name)

    async def acquire(
        self, account: ClientAccount | None, objective_ms: int, remaining_ms: int
    ) -> QuotaToken | QuotaRefusal | None:
        """Return a token for a request, None if it needs none, or a refusal.

        Waits for other instances for a small part of the objective at most.
        """
        if not self._has_quota(account):
            return None
        assert account is not None
        name, now_ms = account.name, self._now_ms()
        if not self._waiters.get(name):
            token = self._quotas.take(name, now_ms)
            if token is not None:
                self._count(name, "admitted")
                return token
        max_wait_ms = _max_wait_ms(objective_ms, remaining_ms)
        if self._quotas.may_get_token(name, max_wait_ms, now_ms):
            token = await self._wait(name, max_wait_ms)
            if token is not None:
                self._count(name, "admitted")
                return token
        if not self._has_quota(account):
            return None
        return self._refuse(name)

    def refund(self, token: QuotaToken | None) -> None:
        """Return the token of a request that was refused and has not run."""
        if token is None or not self._quotas.has_quota(token.account):
            return
        self._quotas.refund(token, self._now_ms())
        self._count(token.account, "refunded")
        self._serve_waiters(token.account)

    async def run(self) -> None:
        """Ask other instances while accounts are short of tokens, until cancelled."""
        pause_s: float | None = None
        while True:
            try:
                async with asyncio.timeout(pause_s):
                    await self._is_short.wait()
            except TimeoutError:
                pass
            self._is_short.clear()
            for name in list(self._waiters):
                self._serve_waiters(name)
            now_ms = self._now_ms()
            for query in self._quotas.plan_queries(now_ms):
                self._tasks.spawn(self._ask(query))
            is_short = bool(self._waiters) or self._quotas.is_short(now_ms)
            pause_s = TICK_MS / MS_PER_S if is_short else None
            await asyncio.sleep(MIN_PAUSE_MS / MS_PER_S)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the response to another instance's query for tokens."""
        if request.method != "POST":
            return web.Response(status=405)
        length = request.content_length
        if length is None or length > MAX_QUERY_BYTES:
            return web.Response(status=413)
        try:
            body = json.loads(await request.read())
            amounts = _decode_amounts(body["amounts"])
            rates = _decode_amounts(body.get("rates", {}))
            returned = _decode_returned(body.get("returned", {}))
            sender_id = str(body.get("from", ""))
        except DECODING_ERRORS as exc:
            return web.Response(status=400, text=f"invalid query: {exc!r}")
        self._apply_config()
        now_ms = self._now_ms()
        leases: dict[str, RateGrant] = {}
        if sender_id:
            self._quotas.take_back(returned, sender_id, now_ms)
        grants = self._quotas.give(amounts, now_ms)
        if sender_id:
            leases = self._quotas.lease(rates, sender_id, now_ms)
        return web.Response(
            body=_compact_json(_answer_fields(grants, leases)),
            content_type="application/json",
        )

    def _now_ms(self) -> int:
        """Return the time, after voiding what is void if the machine was suspended."""
        boot_ms, now_ms = self._boot_clock_ms(), self._clock_ms()
        if self._boot_clock_ms() - boot_ms <= MAX_READING_MS:
            self._quotas.note_clocks(boot_ms, now_ms)
        return now_ms

    def _count(self, name: str, result: str) -> None:
        self._metrics.record_quota(self._series.get(name, OTHER_ACCOUNTS), result)

    def _has_quota(self, account: ClientAccount | None) -> bool:
        if account is None or not account.has_quota:
            return False
        self._apply_config()
        return self._quotas.has_quota(account.name)

    def _apply_config(self) -> None:
        config = self._balancer.config
        if config is self._config:
            return
        self._config = config
        accounts = () if config is None else config.accounts or ()
        self._quotas.configure(accounts, self._now_ms())
        limited = [account for account in accounts if account.has_quota]
        limited.sort(key=lambda account: (-account.rate_per_s, account.name))
        self._series = {
            account.name: account.name if n < MAX_ACCOUNT_SERIES else OTHER_ACCOUNTS
            for n, account in enumerate(limited)
        }
        for name in self._refused_ms.keys() - self._series.keys():
            del self._refused_ms[name]

    async def _wait(self, name: str, max_wait_ms: float) -> QuotaToken | None:
        waiter: asyncio.Future[QuotaToken | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[name].append(waiter)
        self._quotas.start_wait(name)
        self._is_short.set()
        try:
            async with asyncio.timeout(max_wait_ms / MS_PER_S):
                return await waiter
        except TimeoutError:
            return waiter.result() if _has_result(waiter) else None
        except asyncio.CancelledError:
            if _has_result(waiter):
                self.refund(waiter.result())
            raise
        finally:
            self._quotas.end_wait(name)
            waiters = self._waiters.get(name)
            if waiters is not None and waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                self._waiters.pop(name, None)

    def _serve_waiters(self, name: str) -> None:
        waiters = self._waiters.get(name)
        while waiters:
            if waiters[0].done():
                waiters.popleft()
                continue
            if not self._quotas.has_quota(name):
                waiters.popleft().set_result(None)
                continue
            token = self._quotas.take(name, self._now_ms())
            if token is None:
                return
            waiters.popleft().set_result(token)

    def _refuse(self, name: str) -> QuotaRefusal:
        now_ms = self._now_ms()
        retry_after_ms = self._quotas.refuse(name, now_ms)
        if not self._shares.is_earning:
            self._count(name, "not_earning")
            return QuotaRefusal(retry_after_ms, is_over_quota=False)
        self._count(name, "over_quota")
        if name not in self._refused_ms:
            log_event(
                _log,
                logging.WARNING,
                "account_over_quota",
                "this instance refuses requests of an account over its quota",
                account=name,
                rate_per_s=self._quotas.account(name).rate_per_s,
                burst=self._quotas.account(name).burst,
                is_earning=self._shares.is_earning,
            )
        self._refused_ms[name] = now_ms
        return QuotaRefusal(retry_after_ms)

    async def _ask(self, query: CreditQuery) -> None:
        address = self._addresses.get(query.peer_id)
        try:
            if address is None:
                raise CreditsError("the instance has no known address")
            answer = await self._client.ask(
                address, query, self._own_id, QUERY_TIMEOUT_MS
            )
        except CreditsError as exc:
            is_unsupported = isinstance(exc, CreditsUnsupportedError)
            self._metrics.record_credits("unsupported" if is_unsupported else "failed")
            now_ms = self._now_ms()
            if self._quotas.fail(query, now_ms, is_unsupported=is_unsupported):
                log_event(
                    _log,
                    logging.INFO,
                    "credits_unavailable",
                    "an instance does not answer queries for tokens",
                    instance_id=query.peer_id,
                    is_unsupported=is_unsupported,
                    error=str(exc),
                )
        except BaseException:
            self._quotas.fail(query, self._now_ms())
            raise
        else:
            self._quotas.receive(query, answer.grants, self._now_ms(), answer.leases)
            has_given = any(grant.amount > 0.0 for grant in answer.grants.values())
            has_given |= any(lease.rate_per_s > 0.0 for lease in answer.leases.values())
            self._metrics.record_credits("given" if has_given else "empty")
        for name in {*query.amounts, *query.rates}:
            self._serve_waiters(name)
        self._is_short.set()

    def _log_earning(self, confirmed_ms: int | None, now_ms: int) -> None:
        is_earning = self._shares.is_earning
        log_event(
            _log,
            logging.INFO if is_earning else logging.WARNING,
            "quota_earning",
            "this instance earns its shares of the quotas"
            if is_earning
            else "this instance earns no shares: its registration is not confirmed",
            is_earning=is_earning,
            sharing=len(self._shares.members),
            confirmed_age_ms=None if confirmed_ms is None else now_ms - confirmed_ms,
        )

    def _observe_tokens(self) -> list[Observation]:
        now_ms = self._now_ms()
        return self._observe(lambda name: self._quotas.held_tokens(name, now_ms))

    def _observe_shares(self) -> list[Observation]:
        return self._observe(
            lambda name: self._shares.share(self._quotas.account(name)).rate_per_s
        )

    def _observe(self, read: Callable[[str], float]) -> list[Observation]:
        sums = defaultdict[str, float](float)
        for name, series in self._series.items():
            sums[series] += read(name)
        return [Observation(value, {"account": name}) for name, value in sums.items()]


def _has_result(waiter: asyncio.Future[QuotaToken | None]) -> bool:
    return waiter.done() and not waiter.cancelled()


def _max_wait_ms(objective_ms: int, remaining_ms: int) -> float:
    wait_ms = min(max(MAX_WAIT_SHARE * objective_ms, MIN_WAIT_MS), MAX_WAIT_MS)
    return max(min(wait_ms, MAX_REMAINING_SHARE * remaining_ms), 0.0)


def _query_fields(query: CreditQuery, own_id: str) -> dict[str, Any]:
    fields: dict[str, Any] = {"amounts": query.amounts}
    if query.rates or query.returned:
        fields["from"] = own_id
    if query.rates:
        fields["rates"] = query.rates
    if query.returned:
        fields["returned"] = {
            name: [part.lease_ids, _floor(part.tokens)]
            for name, part in query.returned.items()
        }
    return fields


def _answer_fields(
    grants: Mapping[str, CreditGrant], leases: Mapping[str, RateGrant]
) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "grants": {n: [_floor(g.amount), _floor(g.left)] for n, g in grants.items()}
    }
    if leases:
        fields["leases"] = {
            name: [
                _floor(lease.rate_per_s),
                lease.duration_ms,
                _floor(lease.left_per_s),
                _floor(lease.tokens),
                lease.lease_id,
            ]
            for name, lease in leases.items()
        }
    return fields


def _decode_amounts(fields: Any) -> dict[str, float]:
    amounts = {str(name): float(value) for name, value in fields.items()}
    return {n: amount for n, amount in amounts.items() if isfinite(amount)}


def _decode_returned(fields: Any) -> dict[str, LeaseReturn]:
    returned: dict[str, LeaseReturn] = {}
    for name, (lease_ids, tokens) in fields.items():
        ids = tuple(int(lease_id) for lease_id in lease_ids[:MAX_RETURNED_IDS])
        if isfinite(float(tokens)):
            returned[str(name)] = LeaseReturn(ids, float(tokens))
    return returned


def _decode_answer(body: Any) -> CreditsAnswer:
    leases: dict[str, RateGrant] = {}
    for name, values in body.get("leases", {}).items():
        rate, duration_ms, left, tokens, lease_id = values
        if all(isfinite(float(value)) for value in values):
            leases[str(name)] = RateGrant(
                float(rate), int(duration_ms), float(left), float(tokens), int(lease_id)
            )
    return CreditsAnswer(_decode_grants(body), leases)


def _decode_grants(body: Any) -> dict[str, CreditGrant]:
    grants: dict[str, CreditGrant] = {}
    for name, (amount, left) in body["grants"].items():
        grant = CreditGrant(float(amount), float(left))
        if isfinite(grant.amount) and isfinite(grant.left):
            grants[str(name)] = grant
    return grants


def _floor(amount: float) -> float:
    """Return an amount with three decimals, never more than was removed."""
    return floor(amount * 1_000 + 1e-6) / 1_000


def _compact_json(body: Mapping[str, Any]) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()
