"""Decide which instances are asked for tokens of accounts, and what they give."""

from collections.abc import Iterable, Mapping
from math import ceil, exp, floor
from random import Random
from typing import NamedTuple

from rhubarbwell_core.direct.accounts import ClientAccount
from rhubarbwell_core.direct.leases import (
    LEASE_MS,
    MAX_LEASED_PART,
    LeaseReturn,
    RateGrant,
    RateLease,
    lease_end_ms,
)
from rhubarbwell_core.direct.quotas import (
    AccountBucket,
    QuotaMember,
    QuotaShares,
    QuotaToken,
)

__all__ = ["AccountQuotas", "CreditGrant", "CreditQuery", "CreditTotals"]

MS_PER_S = 1_000
# Time constants of the average rate of an account's requests, and of the one that
# shows a rise at once if more than MIN_RISE requests came.
DEMAND_MS = 700
RISE_MS = 100
MIN_RISE = 1.5
# At a steady rate, the time of more than this number of requests seldom has none.
MAX_SILENT_REQUESTS = 3.0
# Tokens for the requests of this part of the token life are asked for ahead. At the
# least life of 300 ms, a trip between regions takes 70 ms of the rest.
AHEAD_PART = 0.73
# Fewer requests expected in that time, or counted in the average, would leave most
# tokens unused.
MIN_AHEAD_TOKENS = 1.0
MIN_AHEAD_REQUESTS = 2.0
# A giver keeps what its own requests need until its bucket has filled a bit.
RESERVE_MS = 150
# Queries of an instance, sustained per second for each account with requests and for
# all of them, and how long it may save them up. Many accounts whose requests come at
# one or two instances each need more than one account does. Accounts that can ask ahead
# or are over their quota leave some to those with few requests.
QUERIES_PER_S = 10.0
MAX_QUERIES_PER_S = 60.0
QUERY_BURST_S = 1.5
RESERVED_QUERIES = 5.0
# An account for which this number of queries in a row yielded little pauses, longer
# each time: all instances are short, or it has to be searched for too long.
MAX_FRUITLESS = 4
FRUITFUL_PART = 0.2
MIN_PAUSE_MS = 100
MAX_PAUSE_MS = 600
# Instances asked at the same time, with and without requests that wait.
MAX_QUERIES_PER_ROUND = 3
MAX_AHEAD_QUERIES_PER_ROUND = 2
MIN_ROUND_MS = 40
# A waiting request asks the next instance soon after the answer of the one before.
MIN_WAITING_ROUND_MS = 5
# What an instance had is a guess after this time: others may have stopped using it.
STALE_MS = 800
STALE_PART = 0.9
# One whose program does not know queries, or that does not answer.
UNSUPPORTED_MS = 30_000
UNREACHABLE_MS = 2_000
# Less than this part of what is asked for ahead is not worth a message.
MIN_EXPECTED_PART = 0.2
# Learned part of its share that an instance still has when it is asked again.
MIN_UNUSED_PART = 0.05
# Worth of another region's tokens to a request that waits: a trip takes nine times
# as long.
OTHER_REGION_WEIGHT = 0.4
OTHER_ZONE_WEIGHT = 0.9
# Range of the random part of Retry-After: the time in which the refused requests of
# the last DEMAND_MS could be served, within these bounds.
MIN_JITTER_MS = 100
MAX_JITTER_MS = 4_000
MIN_RETRY_AFTER_MS = 50
# Range of the random part before this instance earns. Its buckets begin empty, and all
# instances of a fleet may start at once.
START_JITTER_MS = 1_000
MAX_RETRY_AFTER_MS = 10_000
# A part of a smaller rate may be 0.
MIN_RATE_PER_S = 1e-9
# A rate is asked for that exceeds the demand by this factor, as requests come at random
# times.
LEASE_HEADROOM = 1.2
# A giver keeps the rate that its own requests need, with a smaller margin: its own
# bucket covers short bursts.
KEPT_HEADROOM = 1.15
# Time constant of the demand for which leases are asked: about that of a lease.
LEASE_DEMAND_MS = 2_000
# Number of requests in the average over DEMAND_MS from which on that is used too, and
# the number whose usual time may pass without one before leases are returned.
MANY_REQUESTS = 10.0
MAX_SILENT_LEASED = 5.0
# Demand that lasts for less than this time is served by single tokens.
MIN_SHORT_MS = 800
# Power of the share of what is asked for that a giver leases if more is asked for than
# there is. Leases then only move the shortage, and single tokens waste less: with 1,
# demand that moves used 0.948 to 0.959 of the quota, with 2 it used 0.961 to 0.970.
OVERLOAD_POWER = 2
# Fewer requests in the average are served better by single tokens: with 4, leases of
# small accounts left 2 to 4 % of the requests of 71 accounts without a token.
MIN_LEASE_REQUESTS = 20.0
# An account of which this instance refuses more requests than these, and a larger part,
# is over its quota. It takes no lease for some time: with demand of 1.5 times the quota
# at all instances, leases left 9 % of the quota unused.
MIN_OVER_REQUESTS = 3.0
MAX_REFUSED_PART = 0.25
OVER_QUOTA_PAUSE_MS = 3_000
# Leases that end within this time are renewed: a query may take 300 ms, and one that is
# lost is repeated.
RENEWAL_MS = 700
# Those that end within this time are renewed if the giver is asked anyway.
EARLY_RENEWAL_MS = 1_400
# A rate that is missing by less than this part is not asked for.
MIN_MISSING_RATE_PART = 0.08
# Leases that exceed the needed rate by this factor are returned: others need them.
MAX_LEASE_EXCESS = 2.0
# A lease that exceeds the surplus by this factor is returned too: one of a whole rate
# would be kept for few requests otherwise.
MAX_RETURN_EXCESS = 1.3
# Time after which an instance that had no rate to lease is asked again.
LEASE_RETRY_MS = 900
# Queries for rate in a row that yielded little, and the pause after them.
MAX_FRUITLESS_LEASES = 3
LEASE_PAUSE_MS = 1_000
# A clock that counts the suspension of the machine is ahead of one that does not by
# this much after one; less is inaccuracy.
MIN_SUSPENSION_MS = 20
# An account without requests for this time needs no state but its own tokens.
IDLE_MS = 10_000


class CreditQuery(NamedTuple):
    """Hold a query: the tokens, and the tokens per second, asked for by account."""

    query_id: int
    peer_id: str
    amounts: Mapping[str, float]
    sent_ms: int
    rates: Mapping[str, float] = {}
    returned: Mapping[str, LeaseReturn] = {}


class CreditGrant(NamedTuple):
    """Hold the tokens of an account that a giver sent, and what it has left."""

    amount: float
    left: float


class CreditTotals(NamedTuple):
    """Count an account's requests that got a token and those that were refused."""

    admitted: int
    refused: int


class _PeerView:
    """Estimate what another instance has of an account."""

    __slots__ = ("at_ms", "is_new", "lease_ms", "lease_rate", "left", "unused_part")

    def __init__(self) -> None:
        self.left = 0.0
        self.at_ms = 0
        self.unused_part = 1.0
        self.is_new = True
        # Rate that it leased or could lease, and when it was last asked for that.
        self.lease_rate = 0.0
        self.lease_ms: int | None = None

    def leasable(self, rate_per_s: float, now_ms: int) -> float:
        if self.lease_ms is None or now_ms - self.lease_ms >= LEASE_RETRY_MS:
            return max(self.lease_rate, rate_per_s)
        return self.lease_rate

    def expected(self, rate_per_s: float, capacity: float, now_ms: int) -> float:
        if self.is_new:
            return max(0.5 * capacity, min(capacity, 1.0))
        age_ms = now_ms - self.at_ms
        grown = self.unused_part * rate_per_s * age_ms / MS_PER_S
        expected = max(min(self.left + grown, capacity), self.left)
        if age_ms >= STALE_MS:
            full = min(rate_per_s * age_ms / MS_PER_S, capacity)
            expected = max(expected, STALE_PART * full)
        return expected

    def learn(self, grant: CreditGrant, expected: float, now_ms: int) -> None:
        ratio = (grant.amount + grant.left) / max(expected, 0.05)
        part = self.unused_part * (0.5 + 0.5 * min(ratio, 3.0))
        self.unused_part = min(max(part, MIN_UNUSED_PART), 1.0)
        self.left, self.at_ms, self.is_new = grant.left, now_ms, False


class _Account:
    """Hold the state of an account that has requests at this instance."""

    __slots__ = (
        "admitted",
        "bucket",
        "demand",
        "demand_ms",
        "expected",
        "fruitless",
        "fruitless_leases",
        "last_request_ms",
        "lease_demand",
        "lease_paused_until_ms",
        "paused_until_ms",
        "peers",
        "rate_asks",
        "refused",
        "refused_lately",
        "rise",
        "served_lately",
        "short_since_ms",
        "waiting",
    )

    def __init__(self, bucket: AccountBucket, now_ms: int) -> None:
        self.bucket = bucket
        # Requests, those admitted and those refused, as decaying sums over DEMAND_MS.
        self.demand = 0.0
        self.rise = 0.0
        self.served_lately = 0.0
        self.refused_lately = 0.0
        self.demand_ms = now_ms
        self.last_request_ms = now_ms
        self.waiting = 0
        # Tokens asked for by queries that have no answer yet, by query id.
        self.expected: dict[int, float] = {}
        self.peers: dict[str, _PeerView] = {}
        # Queries in a row that yielded little, and the end of the pause after them.
        self.fruitless = 0
        self.paused_until_ms = 0
        self.lease_demand = 0.0
        # Rates that other instances asked for, and when.
        self.rate_asks: dict[str, tuple[float, int]] = {}
        self.fruitless_leases = 0
        # Since when the rate was too low for the demand.
        self.short_since_ms: int | None = None
        self.lease_paused_until_ms = 0
        self.admitted = 0
        self.refused = 0

    @property
    def is_over_quota(self) -> bool:
        return self.refused_lately > max(0.2 * self.served_lately, 1.0)

    def decay(self, now_ms: int) -> None:
        if now_ms > self.demand_ms:
            factor = exp((self.demand_ms - now_ms) / DEMAND_MS)
            self.demand *= factor
            self.lease_demand *= exp((self.demand_ms - now_ms) / LEASE_DEMAND_MS)
            self.rise *= exp((self.demand_ms - now_ms) / RISE_MS)
            self.served_lately *= factor
            self.refused_lately *= factor
            self.demand_ms = now_ms

    def demand_per_s(self, now_ms: int) -> float:
        """Return the requests per second, lower if the last one is long ago."""
        silence_ms = now_ms - self.last_request_ms
        self.decay(now_ms)
        average = self.demand * MS_PER_S / DEMAND_MS
        average = max(average, (self.rise - MIN_RISE) * MS_PER_S / RISE_MS)
        return min(average, MAX_SILENT_REQUESTS * MS_PER_S / max(silence_ms, 1))

    def lease_rate_per_s(self, now_ms: int) -> float:
        """Return the rate that leaves most requests with a token."""
        demand = self.demand_per_s(now_ms)
        usual = self.lease_demand * MS_PER_S / LEASE_DEMAND_MS
        if self.demand < MANY_REQUESTS:
            # The short average of a few requests varies too much.
            demand = usual
        silence_ms = max(now_ms - self.last_request_ms, 1)
        demand = min(max(demand, usual), MAX_SILENT_LEASED * MS_PER_S / silence_ms)
        return LEASE_HEADROOM * demand


class AccountQuotas:
    """Admit requests within the quotas of their accounts.

    Tokens are moved between instances by queries: plan_queries returns those to be
    sent, give answers one, and receive and fail end them. A giver removes the tokens
    before it answers; what an instance received expires a token life after it sent
    the query, so that no clock is shared. A query may also ask for rate: the giver
    stops earning it for LEASE_MS from its answer, the receiver earns it until LEASE_MS
    after the query. Renewals and tokens share messages.
    """

    def __init__(self, own: QuotaMember, shares: QuotaShares, rng: Random) -> None:
        self.shares = shares
        self._own = own
        self._rng = rng
        self._accounts: dict[str, ClientAccount] = {}
        self._since_ms: dict[str, int] = {}
        self._states: dict[str, _Account] = {}
        self._active: set[str] = set()
        self._leased_until_ms: dict[str, int] = {}
        self._boot_offset_ms: int | None = None
        # Random, so that an id of an earlier process is not taken for one of this.
        self._next_lease_id = rng.getrandbits(40)
        self._queries: dict[int, tuple[CreditQuery, dict[str, float]]] = {}
        self._next_query_id = 0
        self._unavailable_until_ms: dict[str, int] = {}
        self._allowance = QUERIES_PER_S * QUERY_BURST_S
        self._allowance_ms = 0
        self._last_round_ms = -MIN_ROUND_MS

    def configure(self, accounts: Iterable[ClientAccount], now_ms: int) -> None:
        """Set the accounts with a quota; a lower limit applies to held tokens."""
        limited = {a.name: a for a in accounts if a.has_quota}
        for name in self._accounts.keys() - limited.keys():
            self._since_ms.pop(name)
            state = self._states.pop(name, None)
            if state is not None and state.bucket.leased_out:
                ends_ms = state.bucket.leased_out.ends_ms()
                self._leased_until_ms[name] = max(ends_ms)
            self._active.discard(name)
            self.shares.forget(name)
        for name, account in limited.items():
            if name not in self._since_ms:
                # Others may have kept their leases of an account that was removed.
                leased_until_ms = self._leased_until_ms.pop(name, now_ms)
                self._since_ms[name] = max(now_ms, leased_until_ms)
            state = self._states.get(name)
            if state is not None and state.bucket.account != account:
                state.bucket.reconfigure(account, now_ms)
            elif state is None and self._accounts.get(name, account) != account:
                # Tokens of an earlier rate are not known; none are assumed.
                self._since_ms[name] = now_ms
        self._accounts = limited

    def note_clocks(self, boot_ms: int, now_ms: int) -> None:
        """Void what others gave if the clock stood still; call this before others.

        boot_ms is the time in ms of a clock that counts the time for which the machine
        was suspended.
        """
        offset_ms = boot_ms - now_ms
        known_ms, self._boot_offset_ms = self._boot_offset_ms, offset_ms
        if known_ms is not None and offset_ms - known_ms >= MIN_SUSPENSION_MS:
            for state in self._states.values():
                state.bucket.void_received(now_ms)
            # Answers to earlier queries would count from a time before.
            for query, _ in list(self._queries.values()):
                self._end_query(query)

    def has_quota(self, name: str) -> bool:
        """Return True if an account's requests are limited."""
        return name in self._accounts

    def account(self, name: str) -> ClientAccount:
        """Return an account with a quota; raise KeyError."""
        return self._accounts[name]

    def add_request(self, name: str, now_ms: int) -> None:
        """Count a request, from which the account's demand is estimated."""
        state = self._state(name, now_ms)
        state.decay(now_ms)
        state.demand += 1.0
        state.rise += 1.0
        state.lease_demand += 1.0
        state.last_request_ms = now_ms
        self._active.add(name)

    def take(self, name: str, now_ms: int) -> QuotaToken | None:
        """Return a token for a request, None if none is held."""
        state = self._state(name, now_ms)
        token = state.bucket.take(now_ms)
        if token is not None:
            state.admitted += 1
            state.decay(now_ms)
            state.served_lately += 1.0
        return token

    def refund(self, token: QuotaToken, now_ms: int) -> None:
        """Return the token of a request that was refused and has not run."""
        state = self._states.get(token.account)
        if state is not None:
            state.admitted -= 1
            state.bucket.refund(token, now_ms)

    def start_wait(self, name: str) -> None:
        """Count a request that waits for a token."""
        self._states[name].waiting += 1

    def end_wait(self, name: str) -> None:
        """End the wait of a request."""
        state = self._states.get(name)
        if state is not None and state.waiting:
            state.waiting -= 1

    def may_get_token(self, name: str, max_wait_ms: float, now_ms: int) -> bool:
        """Return True if a request may get a token within max_wait_ms."""
        state = self._state(name, now_ms)
        bucket = state.bucket
        ahead = state.waiting + 1.0 - bucket.tokens(now_ms)
        if ahead <= 0.0:
            return True
        if ahead <= bucket.earning_per_s(now_ms) * max_wait_ms / MS_PER_S:
            return True
        if sum(state.expected.values()) >= ahead:
            return True
        if state.waiting >= self.shares.rule.pool_tokens(bucket.account):
            return False
        return self._allowed_queries(state, now_ms) > 0 and any(
            self._is_available(peer, now_ms)
            and self._expected(state, peer.instance_id, now_ms) >= _least_grant(ahead)
            for peer in self._givers(state)
        )

    def refuse(self, name: str, now_ms: int) -> int:
        """Count a refused request and return its Retry-After in ms."""
        state = self._state(name, now_ms)
        state.refused += 1
        state.decay(now_ms)
        if not self.shares.is_earning:
            # Nothing is known about the account's use of its quota.
            start_ms = self.shares.time_to_start_ms(now_ms)
            start_ms += round(self._rng.uniform(MIN_JITTER_MS, START_JITTER_MS))
            return min(start_ms, MAX_RETRY_AFTER_MS)
        state.refused_lately += 1.0
        served_per_s = state.served_lately * MS_PER_S / DEMAND_MS
        account = state.bucket.account
        holders = len(self.shares.holders(account)) or 1
        rate_per_s = max(served_per_s, account.rate_per_s / holders, MIN_RATE_PER_S)
        next_ms = state.bucket.next_token_ms(now_ms)
        wait_ms = min(next_ms, MS_PER_S / rate_per_s)
        jitter_ms = MS_PER_S * state.refused_lately / rate_per_s
        jitter_ms = min(max(jitter_ms, MIN_JITTER_MS), MAX_JITTER_MS)
        wait_ms += self._rng.uniform(0.0, jitter_ms)
        return round(min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))

    def is_short(self, now_ms: int) -> bool:
        """Return True while an account needs tokens of other instances."""
        return any(
            self._missing(self._states[name], now_ms) > 0.0
            or self._missing_rate(self._states[name], now_ms) > 0.0
            or self._surplus_rate(self._states[name], now_ms) > 0.0
            for name in self._active
        )

    def plan_queries(self, now_ms: int) -> list[CreditQuery]:
        """Return the queries to be sent now; each is to be ended by receive or fail.

        Queries of several accounts to one instance are one.
        """
        self._forget_idle(now_ms)
        passed_ms = now_ms - self._last_round_ms
        if passed_ms < MIN_WAITING_ROUND_MS:
            return []
        missing = [
            (state.is_over_quota, state.waiting == 0, -amount, name)
            for name in self._active
            if (state := self._states[name])
            and (amount := self._missing(state, now_ms)) > 0.0
        ]
        amounts: dict[str, dict[str, float]] = {}
        rates: dict[str, dict[str, float]] = {}
        if passed_ms >= MIN_ROUND_MS:
            # First, as they make later queries unnecessary.
            self._plan_leases(rates, now_ms)
        for _, is_ahead, negative, name in sorted(missing):
            if is_ahead and passed_ms < MIN_ROUND_MS:
                continue
            limit = MAX_AHEAD_QUERIES_PER_ROUND if is_ahead else MAX_QUERIES_PER_ROUND
            state = self._states[name]
            limit = min(limit, self._allowed_queries(state, now_ms))
            asked = rates.keys() | amounts.keys()
            self._plan_account(
                name, -negative, not is_ahead, amounts, asked, limit, now_ms
            )
        if amounts or rates:
            self._renew_early(amounts.keys() | rates.keys(), rates, now_ms)
        returned: dict[str, dict[str, LeaseReturn]] = {}
        if passed_ms >= MIN_ROUND_MS:
            self._plan_returns(amounts.keys() | rates.keys(), returned, now_ms)
        peers = list(amounts | rates | returned)
        if peers:
            self._last_round_ms = now_ms
            self._allowance -= len(peers)
        return [
            self._start_query(
                peer,
                amounts.get(peer, {}),
                rates.get(peer, {}),
                returned.get(peer, {}),
                now_ms,
            )
            for peer in peers
        ]

    def give(self, amounts: Mapping[str, float], now_ms: int) -> dict[str, CreditGrant]:
        """Remove the tokens that can be given from this instance; return them."""
        grants: dict[str, CreditGrant] = {}
        for name, amount in amounts.items():
            if name not in self._accounts or not amount > 0.0:
                continue
            state = self._state(name, now_ms)
            own = state.bucket.own_tokens(now_ms)
            reserve = state.demand_per_s(now_ms) * RESERVE_MS / MS_PER_S
            free = max(own - reserve - state.waiting, 0.0)
            # The amount completes tokens of the asking instance: a part would expire.
            given = amount - max(ceil(amount - free), 0)
            if given > 0.0:
                state.bucket.give(given, now_ms)
            given = max(given, 0.0)
            grants[name] = CreditGrant(given, free - given)
        return grants

    def lease(
        self, rates: Mapping[str, float], requester_id: str, now_ms: int
    ) -> dict[str, RateGrant]:
        """Stop earning parts of the own shares for LEASE_MS; return them.

        What this instance's own requests need is kept, and the rest is divided among
        those that asked lately, in proportion.
        """
        leases: dict[str, RateGrant] = {}
        for name, asked in rates.items():
            if name not in self._accounts or not asked > 0.0:
                continue
            state = self._state(name, now_ms)
            bucket = state.bucket
            bucket.own_tokens(now_ms)
            state.rate_asks = {
                peer: ask
                for peer, ask in state.rate_asks.items()
                if ask[1] > now_ms - LEASE_MS
            }
            if not bucket.leased_out.may_add(requester_id):
                continue
            state.rate_asks[requester_id] = (asked, now_ms)
            kept = KEPT_HEADROOM * state.demand_per_s(now_ms)
            leasable = MAX_LEASED_PART * bucket.share.rate_per_s
            leasable = min(leasable, max(bucket.share.rate_per_s - kept, 0.0))
            others = bucket.leased_out.rate_at(now_ms)
            others -= bucket.leased_out.rate_of(requester_id, now_ms)
            all_asked = sum(ask for ask, _ in state.rate_asks.values())
            free = max(leasable - others, 0.0)
            # More is asked for than there is: leases then only move the shortage.
            part = min(leasable / max(all_asked, 1e-9), 1.0) ** OVERLOAD_POWER
            rate = min(asked * part, free)
            tokens = 0.0
            if rate > 0.0:
                self._next_lease_id += 1
                lease = RateLease(rate, now_ms + LEASE_MS, self._next_lease_id)
                tokens = bucket.lease_out(requester_id, lease, now_ms)
            leases[name] = RateGrant(
                rate, LEASE_MS, free - rate, tokens, self._next_lease_id
            )
        return leases

    def take_back(
        self, returned: Mapping[str, LeaseReturn], receiver_id: str, now_ms: int
    ) -> None:
        """Earn again what another instance returns before its time."""
        for name, part in returned.items():
            state = self._states.get(name)
            if state is not None:
                state.bucket.take_back(receiver_id, part, now_ms)
                state.rate_asks.pop(receiver_id, None)

    def receive(
        self,
        query: CreditQuery,
        grants: Mapping[str, CreditGrant],
        now_ms: int,
        leases: Mapping[str, RateGrant] | None = None,
    ) -> None:
        """End a query with the answer; what took too long is void."""
        found = self._end_query(query)
        if found is None:
            return
        self._unavailable_until_ms.pop(query.peer_id, None)
        self._receive_leases(query, leases or {}, now_ms)
        for name, asked in query.amounts.items():
            state = self._states.get(name)
            if state is None:
                continue
            grant = grants.get(name, CreditGrant(0.0, 0.0))
            view = state.peers.setdefault(query.peer_id, _PeerView())
            view.learn(grant, found[name], now_ms)
            amount = min(max(grant.amount, 0.0), asked)
            self._record_yield(state, amount / asked, now_ms)
            if amount > 0.0:
                expires_ms = query.sent_ms + state.bucket.life_ms
                state.bucket.receive(amount, expires_ms, now_ms)

    def fail(
        self, query: CreditQuery, now_ms: int, *, is_unsupported: bool = False
    ) -> bool:
        """End a query without an answer; return True if the peer was available."""
        self._end_query(query)
        was_available = query.peer_id not in self._unavailable_until_ms
        pause_ms = UNSUPPORTED_MS if is_unsupported else UNREACHABLE_MS
        pause_ms = round(pause_ms * self._rng.uniform(0.8, 1.2))
        self._unavailable_until_ms[query.peer_id] = now_ms + pause_ms
        return was_available

    def totals(self) -> dict[str, CreditTotals]:
        """Return the counts of each account that has had requests."""
        return {
            name: CreditTotals(state.admitted, state.refused)
            for name, state in self._states.items()
        }

    def held_tokens(self, name: str, now_ms: int) -> float:
        """Return the tokens of an account that this instance holds."""
        return self._state(name, now_ms).bucket.tokens(now_ms)

    def _state(self, name: str, now_ms: int) -> _Account:
        state = self._states.get(name)
        if state is None:
            account = self._accounts[name]
            bucket = AccountBucket(account, self.shares, self._since_ms[name])
            state = self._states[name] = _Account(bucket, now_ms)
        return state

    def _missing(self, state: _Account, now_ms: int) -> float:
        """Return the tokens that are worth asking for now, to complete whole ones."""
        ahead_s = AHEAD_PART * state.bucket.life_ms / MS_PER_S
        ahead = state.demand_per_s(now_ms) * ahead_s
        earned = state.bucket.earning_per_s(now_ms) * ahead_s
        is_steady = ahead >= MIN_AHEAD_TOKENS and state.demand >= MIN_AHEAD_REQUESTS
        needed = max(ahead - earned, 0.0) if is_steady else 0.0
        received = state.bucket.received_tokens(now_ms)
        coming = sum(state.expected.values())
        held = state.bucket.own_tokens(now_ms) + received + coming
        missing = needed + state.waiting - held
        room = self.shares.rule.pool_tokens(state.bucket.account) - received - coming
        if min(missing, room) <= 0.0:
            return 0.0
        return max(floor(held + min(missing, room)), floor(held) + 1.0) - held

    def _missing_rate(
        self, state: _Account, now_ms: int, renewal_ms: int = RENEWAL_MS
    ) -> float:
        """Return the tokens per second that are worth asking for now."""
        if state.refused_lately > max(
            MAX_REFUSED_PART * state.served_lately, MIN_OVER_REQUESTS
        ):
            state.lease_paused_until_ms = now_ms + OVER_QUOTA_PAUSE_MS
        if state.lease_demand < MIN_LEASE_REQUESTS:
            state.short_since_ms = None
            return 0.0
        if now_ms < state.lease_paused_until_ms:
            return 0.0
        bucket = state.bucket
        needed = state.lease_rate_per_s(now_ms)
        kept = max(bucket.share.rate_per_s - bucket.leased_out.rate_at(now_ms), 0.0)
        missing = needed - kept - bucket.leased_in_per_s(now_ms + renewal_ms)
        if missing < MIN_MISSING_RATE_PART * needed:
            if missing <= 0.0:
                state.short_since_ms = None
            return 0.0
        if state.short_since_ms is None:
            state.short_since_ms = now_ms
        return missing if now_ms - state.short_since_ms >= MIN_SHORT_MS else 0.0

    def _surplus_rate(self, state: _Account, now_ms: int) -> float:
        """Return the leased tokens per second that are not needed."""
        leased = state.bucket.leased_in_per_s(now_ms)
        if leased <= 0.0:
            return 0.0
        needed = state.lease_rate_per_s(now_ms)
        needed = max(needed - state.bucket.share.rate_per_s, 0.0)
        return leased - needed if leased > MAX_LEASE_EXCESS * needed else 0.0

    def _plan_returns(
        self,
        others: Iterable[str],
        returned: dict[str, dict[str, LeaseReturn]],
        now_ms: int,
    ) -> None:
        """End leases that are not needed; others are asked in this round anyway."""
        asked = set(others)
        limit = min(MAX_QUERIES_PER_ROUND, int(self._query_allowance(now_ms)))
        for name in self._active:
            state = self._states[name]
            surplus = self._surplus_rate(state, now_ms)
            if surplus <= 0.0:
                continue
            rates = state.bucket.leased_in_rates(now_ms)
            for peer_id in sorted(rates, key=lambda peer: rates[peer]):
                if not 0.0 < rates[peer_id] <= MAX_RETURN_EXCESS * surplus:
                    continue
                if peer_id not in asked and len(asked) >= limit:
                    continue
                part = state.bucket.return_lease(peer_id, now_ms)
                returned.setdefault(peer_id, {})[name] = part
                asked.add(peer_id)
                surplus -= rates[peer_id]

    def _plan_leases(
        self,
        rates: dict[str, dict[str, float]],
        now_ms: int,
    ) -> None:
        """Choose whom to ask for rate."""
        missing = {
            name: rate
            for name in self._active
            if (rate := self._missing_rate(self._states[name], now_ms)) > 0.0
        }
        limit = min(MAX_QUERIES_PER_ROUND, int(self._query_allowance(now_ms)))
        for name in sorted(missing, key=lambda name: -missing[name]):
            self._plan_lease(name, missing[name], rates, limit, now_ms)

    def _renew_early(
        self, peers: Iterable[str], rates: dict[str, dict[str, float]], now_ms: int
    ) -> None:
        """Renew leases of instances that are asked in this round anyway."""
        peers = list(peers)
        for name in self._active:
            state = self._states[name]
            missing_rate = self._missing_rate(state, now_ms, EARLY_RENEWAL_MS)
            for peer_id in peers:
                if missing_rate <= 0.0:
                    break
                rate = state.bucket.leased_in_per_s(now_ms, peer_id)
                late = state.bucket.leased_in_per_s(now_ms + EARLY_RENEWAL_MS, peer_id)
                if late < rate and name not in rates.get(peer_id, {}):
                    rates.setdefault(peer_id, {})[name] = floor(rate * 1_000) / 1_000
                    missing_rate -= rate

    def _plan_lease(
        self,
        name: str,
        missing: float,
        rates: dict[str, dict[str, float]],
        limit: int,
        now_ms: int,
    ) -> None:
        state = self._states[name]
        share = self.shares.holder_share(state.bucket.account).rate_per_s
        share *= MAX_LEASED_PART
        choices: list[tuple[float, float, float, str]] = []
        for peer in self._givers(state):
            peer_id = peer.instance_id
            if not self._is_available(peer, now_ms) or any(
                query.peer_id == peer_id and name in query.rates
                for query, _ in self._queries.values()
            ):
                continue
            held = state.bucket.leased_in_per_s(now_ms + RENEWAL_MS, peer_id)
            view = state.peers.setdefault(peer_id, _PeerView())
            more = view.leasable(share, now_ms) - held
            if more < MIN_MISSING_RATE_PART * min(missing, share):
                continue
            worth = min(more, missing) * self._rng.uniform(0.8, 1.0)
            if peer_id in rates:
                worth *= 2.0
            elif state.bucket.leased_in_per_s(now_ms, peer_id) > 0.0:
                worth *= 1.3
            choices.append((worth, more, held, peer_id))
        for _, more, held, peer_id in sorted(choices, reverse=True):
            if missing <= 0.0:
                return
            if peer_id not in rates and len(rates) >= limit:
                continue
            asked = floor(min(held + missing, share) * 1_000) / 1_000
            rates.setdefault(peer_id, {})[name] = asked
            missing -= more

    def _receive_leases(
        self, query: CreditQuery, leases: Mapping[str, RateGrant], now_ms: int
    ) -> None:
        for name, asked in query.rates.items():
            state = self._states.get(name)
            if state is None:
                continue
            grant = leases.get(name, RateGrant(0.0, 0))
            share = self.shares.holder_share(state.bucket.account).rate_per_s
            rate = min(max(grant.rate_per_s, 0.0), asked, share)
            view = state.peers.setdefault(query.peer_id, _PeerView())
            view.lease_rate = rate + max(grant.left_per_s, 0.0)
            view.lease_ms = now_ms
            if rate >= FRUITFUL_PART * asked:
                state.fruitless_leases = 0
            else:
                state.fruitless_leases += 1
                if state.fruitless_leases >= MAX_FRUITLESS_LEASES:
                    pause_ms = LEASE_PAUSE_MS * self._rng.uniform(0.8, 1.2)
                    state.lease_paused_until_ms = now_ms + round(pause_ms)
            until_ms = lease_end_ms(query.sent_ms, grant.duration_ms)
            if rate > 0.0 and until_ms > now_ms:
                lease = RateLease(rate, until_ms, grant.lease_id)
                tokens = max(grant.tokens, 0.0)
                state.bucket.lease_in(query.peer_id, lease, tokens, now_ms)

    def _record_yield(self, state: _Account, part: float, now_ms: int) -> None:
        if part >= FRUITFUL_PART:
            state.fruitless = 0
            return
        state.fruitless += 1
        if state.fruitless >= MAX_FRUITLESS:
            pause_ms = MIN_PAUSE_MS * 2.0 ** min(state.fruitless - MAX_FRUITLESS, 5)
            pause_ms = min(pause_ms, MAX_PAUSE_MS) * self._rng.uniform(0.8, 1.2)
            state.paused_until_ms = now_ms + round(pause_ms)

    def _allowed_queries(self, state: _Account, now_ms: int) -> int:
        """Return the number of queries that may be sent for an account now."""
        if now_ms < state.paused_until_ms:
            return 0
        allowance = self._query_allowance(now_ms)
        if state.demand >= MIN_AHEAD_REQUESTS or state.is_over_quota:
            allowance -= RESERVED_QUERIES
        return max(int(allowance), 0)

    def _givers(self, state: _Account) -> list[QuotaMember]:
        holders = set(self.shares.holders(state.bucket.account))
        holders.discard(self._own.instance_id)
        return [m for m in self.shares.members if m.instance_id in holders]

    def _is_available(self, peer: QuotaMember, now_ms: int) -> bool:
        return self._unavailable_until_ms.get(peer.instance_id, 0) <= now_ms

    def _expected(self, state: _Account, peer_id: str, now_ms: int) -> float:
        share = self.shares.holder_share(state.bucket.account)
        view = state.peers.setdefault(peer_id, _PeerView())
        return view.expected(share.rate_per_s, share.capacity, now_ms)

    def _plan_account(
        self,
        name: str,
        missing: float,
        waits: bool,
        amounts: dict[str, dict[str, float]],
        asked: set[str],
        limit: int,
        now_ms: int,
    ) -> None:
        """Choose whom to ask for tokens; those asked in this round come first."""
        state = self._states[name]
        choices: list[tuple[float, float, str]] = []
        for peer in self._givers(state):
            if not self._is_available(peer, now_ms):
                continue
            if any(
                query.peer_id == peer.instance_id
                for query, _ in self._queries.values()
                if not waits or name in query.amounts
            ):
                continue
            expected = self._expected(state, peer.instance_id, now_ms)
            least = _least_grant(missing)
            if expected < (least if waits else max(least, MIN_EXPECTED_PART * missing)):
                continue
            worth = min(expected, missing) * self._rng.uniform(0.7, 1.0)
            if waits:
                worth *= self._trip_weight(peer)
            if peer.instance_id in asked:
                worth *= 2.0
            choices.append((worth, expected, peer.instance_id))
        choices.sort(reverse=True)
        for _, expected, peer_id in choices:
            if missing <= 0.0:
                return
            if peer_id not in asked and len(asked) >= limit:
                continue
            asked.add(peer_id)
            # A giver may have more than expected.
            amounts.setdefault(peer_id, {})[name] = ceil(missing * 1_000) / 1_000
            missing = floor(missing - expected)

    def _trip_weight(self, peer: QuotaMember) -> float:
        if peer.region != self._own.region:
            return OTHER_REGION_WEIGHT
        return 1.0 if peer.zone == self._own.zone else OTHER_ZONE_WEIGHT

    def _start_query(
        self,
        peer_id: str,
        amounts: Mapping[str, float],
        rates: Mapping[str, float],
        returned: Mapping[str, LeaseReturn],
        now_ms: int,
    ) -> CreditQuery:
        self._next_query_id += 1
        query = CreditQuery(
            self._next_query_id, peer_id, amounts, now_ms, rates, returned
        )
        expected: dict[str, float] = {}
        for name, amount in amounts.items():
            state = self._states[name]
            expected[name] = self._expected(state, peer_id, now_ms)
            state.expected[query.query_id] = min(amount, expected[name])
        self._queries[query.query_id] = (query, expected)
        return query

    def _end_query(self, query: CreditQuery) -> dict[str, float] | None:
        found = self._queries.pop(query.query_id, None)
        for name in query.amounts:
            state = self._states.get(name)
            if state is not None:
                state.expected.pop(query.query_id, None)
        return None if found is None else found[1]

    def _query_allowance(self, now_ms: int) -> float:
        passed_ms = max(now_ms - self._allowance_ms, 0)
        per_s = min(QUERIES_PER_S * max(len(self._active), 1), MAX_QUERIES_PER_S)
        self._allowance += per_s * passed_ms / MS_PER_S
        self._allowance = min(self._allowance, per_s * QUERY_BURST_S)
        self._allowance_ms = now_ms
        return self._allowance

    def _forget_idle(self, now_ms: int) -> None:
        for name in list(self._active):
            state = self._states[name]
            if state.waiting or now_ms - state.demand_ms < IDLE_MS:
                continue
            if state.demand_per_s(now_ms) < 0.01:
                self._active.discard(name)
                state.peers.clear()


def _least_grant(missing: float) -> float:
    """Return the part of the missing tokens that completes one: givers give no less."""
    return missing - ceil(missing) + 1.0
