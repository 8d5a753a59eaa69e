"""Divide the quotas of client accounts among instances and hold their tokens."""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rhubarbwell_core.direct.accounts import ClientAccount
from rhubarbwell_core.direct.leases import (
    LEASE_MS,
    MAX_LEASED_PART,
    LeaseLedger,
    LeaseReturn,
    RateLease,
)
from rhubarbwell_core.hashing import rendezvous

__all__ = [
    "AccountBucket",
    "QuotaMember",
    "QuotaRule",
    "QuotaShare",
    "QuotaShares",
    "QuotaToken",
]

MS_PER_S = 1_000
# Least time within which a token that has left the bucket in which it was earned is
# used or void. Four round trips between regions; each 100 ms cost 2 % of a 5 s window.
MIN_TOKEN_LIFE_MS = 300
# Tokens of small accounts live longer, by the time in which they earn this part of the
# slack: the requests at one instance are seconds apart.
LIFE_SLACK_PART = 0.2
MAX_TOKEN_LIFE_MS = 2_000
# Time of earning by which views of the sharing instances that differ may exceed the
# rate within a window.
VIEW_MARGIN_MS = 100
# Parts of the bound's slack and of the rest of its overage that the buckets use. What
# is left covers tokens that stopped clocks keep valid.
BUCKET_SLACK_PART = 0.6
BUCKET_OVERAGE_PART = 0.3
# A smaller bucket would often hold part of a token only, which nobody can use.
MIN_BUCKET_TOKENS = 2.5
# Holders' buckets together fill once in this time or more slowly, or else there are
# fewer of them: each has to be asked before its bucket is full.
MAX_HOLDERS_FILLED_PER_S = 9.0
# Most tokens that an instance holds or expects from others, as a time of the account's
# rate, a part of its burst, and at least.
POOL_MS = 150
POOL_BURST_PART = 0.1
MIN_POOL_TOKENS = 3.0
# Others remove the row of an instance 60 s after its last confirmation.
CONFIRMATION_MS = 50_000
# A list of sharing instances is complete once it has not changed for this time.
STABLE_MS = 2_000
# Time in which a row that was written reaches the instances that read or follow it.
SPREAD_MS = 5_000
# Greatest age of a list with the row of the instance's earlier process at which the
# instance earns at once. An instance that is not in it was not confirmed before, and
# earns SPREAD_MS after that; the rest of that time is for the start.
MAX_LIST_AGE_MS = 3_000
# Time to the first confirmation of a row, as assumed for Retry-After.
USUAL_CONFIRMATION_MS = 1_000


# Parts of a token life in which the tokens of leases expire together.
LEASED_PARTS = 16
# Sums of parts of a token that make a whole one may be smaller by this.
ROUNDING = 1e-9


class QuotaRule(NamedTuple):
    """Store the bound on the requests of an account, over all instances together.

    In any window_ms, these number at most (rate * window + burst) * (1 + overage) +
    slack. It holds because in the formulas below, with rate in tokens per second and W
    and L the window and the token life in seconds:

    - At any time, all buckets together hold at most bucket_tokens, and all instances
      together earn at most earned_rate.
    - A token that has left its bucket is used or void after L. So a token that is used
      in a window [t, t + W] was in a bucket at t - L or was earned since, and at most
      bucket_tokens + earned_rate * (W + L) are used.
    - Leases move earning between instances: a giver does not earn what it leased until
      the receiver has stopped, see LeaseLedger. What is earned by a lease is used
      within L or void, as if it had left a bucket when it was earned.
    - bucket_tokens + earned_rate * (W + L + view margin) is at most the bound: the
      overage pays for earned_rate * (MIN_TOKEN_LIFE_MS + margin), the slack for a
      longer life, and the buckets take a part of what is left of both.
    """

    window_ms: int = 5_000
    overage: float = 0.1
    slack: float = 20.0

    def max_requests(self, account: ClientAccount) -> float:
        """Return the largest number of requests in a window."""
        tokens = account.rate_per_s * self.window_ms / MS_PER_S + account.burst
        return (1.0 + self.overage) * tokens + self.slack

    def bucket_tokens(self, account: ClientAccount) -> float:
        """Return the total size of the account's buckets.

        >>> QuotaRule().bucket_tokens(ClientAccount("a", rate_per_s=100, burst=100))
        118.0
        """
        tokens = account.rate_per_s * self.window_ms / MS_PER_S + account.burst
        outside = account.rate_per_s * (MIN_TOKEN_LIFE_MS + VIEW_MARGIN_MS) / MS_PER_S
        rest = self.overage * tokens - outside
        size = account.burst + BUCKET_SLACK_PART * self.slack
        size += BUCKET_OVERAGE_PART * rest if rest > 0.0 else rest
        return max(size, 1.0)

    def token_life_ms(self, account: ClientAccount) -> int:
        """Return the time in ms in which a token is used or void outside its bucket.

        >>> QuotaRule().token_life_ms(ClientAccount("a", rate_per_s=20))
        500
        """
        extra_s = LIFE_SLACK_PART * self.slack / max(account.rate_per_s, 1e-9)
        life_ms = MIN_TOKEN_LIFE_MS + extra_s * MS_PER_S
        return round(min(life_ms, MAX_TOKEN_LIFE_MS))

    def earned_rate(self, account: ClientAccount) -> float:
        """Return the tokens per second that all holders together earn.

        This is the account's rate unless overage and slack are too small.
        """
        time_ms = self.window_ms + self.token_life_ms(account) + VIEW_MARGIN_MS
        room = self.max_requests(account) - self.bucket_tokens(account)
        return max(min(account.rate_per_s, room * MS_PER_S / time_ms), 0.0)

    def pool_tokens(self, account: ClientAccount) -> float:
        """Return the most tokens of others that an instance holds or expects."""
        tokens = account.rate_per_s * POOL_MS / MS_PER_S
        return max(tokens + POOL_BURST_PART * account.burst, MIN_POOL_TOKENS)


class QuotaMember(NamedTuple):
    """Name an instance that shares the quotas, and where it runs."""

    instance_id: str
    zone: str
    region: str


class QuotaShare(NamedTuple):
    """Hold what one holder of an account earns, in tokens per second, and may keep."""

    rate_per_s: float
    capacity: float


class _Epoch(NamedTuple):
    """Hold the members from a time in ms on, and whether this instance earns.

    part is less than 1 while an earlier process may have leased the rest of the share.
    """

    number: int
    start_ms: int
    members: tuple[QuotaMember, ...]
    is_earning: bool
    part: float = 1.0


class QuotaShares:
    """Decide which instances earn an account's tokens, and whether this one may.

    All sharing instances have equal shares of large accounts. Shares that would be
    too small to be used go to fewer holders, of which each region has at least one if
    there are enough.

    Shares shrink at once when an instance joins, and grow SPREAD_MS after one was
    removed. An instance earns nothing until its list of members has not changed for
    STABLE_MS and its own row is known to all: at once after the first start of a fleet,
    and if the row of its earlier process was still listed, as nobody earned its share
    meanwhile; otherwise SPREAD_MS after its row was confirmed if all members are live,
    and CONFIRMATION_MS after it if one may be cut off and not know of it.

    If a list of at most MAX_LIST_AGE_MS had the row of the earlier process, and that
    row was still in the store when it was replaced, earning begins with the
    confirmation: each instance that earns was confirmed SPREAD_MS ago or has a row that
    was not removed since, so that the list is complete, and so are the others' lists.
    This does not hold for a list from the first start of a fleet, whose instances earn
    soon after they have registered. In the first LEASE_MS after such a start, only that
    part of the share is earned that the earlier process cannot have leased.

    When its row
    has not been confirmed for CONFIRMATION_MS, it stops earning and its own tokens are
    void: the others remove its row and earn its share. It then begins as after a start
    without a row.
    """

    def __init__(
        self, instance_id: str, rule: QuotaRule, *, is_first_start: bool = False
    ) -> None:
        self.rule = rule
        self._instance_id = instance_id
        self._is_first_start = is_first_start
        self._epochs = deque([_Epoch(0, 0, (), False)], maxlen=64)
        self._seen: dict[QuotaMember, int] = {}
        self._latest: frozenset[QuotaMember] = frozenset()
        self._changed_ms: int | None = None
        self._updated_ms: int | None = None
        self._first_confirmed_ms: int | None = None
        # True if the row of the earlier process was listed, and no share has lapsed.
        self._keeps_share = False
        # Time in ms up to which the list with that row was current, None if the row may
        # have been removed since.
        self._listed_ms: int | None = None
        self._has_lapsed = False
        self._has_started = False
        # Number of the epoch in which earning began.
        self._start_epoch = 0
        self._earn_until_ms = 0
        self._holders: dict[str, tuple[int, ClientAccount, tuple[str, ...]]] = {}

    @property
    def epoch(self) -> int:
        """Return a number that changes with the members and with is_earning."""
        return self._epochs[-1].number

    @property
    def epoch_start_ms(self) -> int:
        """Return the time in ms since which the epoch lasts."""
        return self._epochs[-1].start_ms

    @property
    def start_epoch(self) -> int:
        """Return the epoch in which this instance last began to earn."""
        return self._start_epoch

    @property
    def is_earning(self) -> bool:
        """Return True if this instance earns its shares."""
        return self._epochs[-1].is_earning

    @property
    def members(self) -> tuple[QuotaMember, ...]:
        """Return the instances among which the quotas are divided."""
        return self._epochs[-1].members

    def update(
        self,
        members: Iterable[QuotaMember],
        live_ids: Iterable[str],
        confirmed_ms: int | None,
        now_ms: int,
        *,
        was_listed: bool = False,
        listed_ms: int | None = None,
    ) -> None:
        """Set the sharing instances; call this at least every second.

        confirmed_ms is the last time in ms at which this instance's row was known to
        be in the store, None if it never was since the start. was_listed is True if
        the row was listed before this process wrote it. listed_ms is the time in ms up
        to which that list was current, None if the row may have been removed since.
        """
        if self._updated_ms is None:
            self._updated_ms = now_ms
        latest = frozenset(members)
        if self._changed_ms is None or latest != self._latest:
            self._latest, self._changed_ms = latest, now_ms
        for member in latest:
            self._seen[member] = now_ms
        oldest_ms = now_ms - SPREAD_MS
        self._seen = {m: at for m, at in self._seen.items() if at >= oldest_ms}
        if self._has_started and now_ms > self._earn_until_ms:
            # Also after a pause of the process, whose end confirms the row again.
            self._has_started = self._is_first_start = self._keeps_share = False
            self._has_lapsed = True
            self._first_confirmed_ms = None
        if confirmed_ms is not None:
            self._earn_until_ms = confirmed_ms + CONFIRMATION_MS
            if self._first_confirmed_ms is None and now_ms <= self._earn_until_ms:
                self._first_confirmed_ms = now_ms
                self._keeps_share = was_listed and not self._has_lapsed
                self._listed_ms = listed_ms
        if not self._has_started:
            self._has_started = self._may_start(frozenset(live_ids), now_ms)
        current = self._epochs[-1]
        known = tuple(sorted(self._seen))
        part = 1.0
        if self._is_list_complete() and now_ms - self._updated_ms < LEASE_MS:
            part -= MAX_LEASED_PART
        if (known, self._has_started, part) != current[2:]:
            if self._has_started and not current.is_earning:
                self._start_epoch = current.number + 1
            self._epochs.append(
                _Epoch(current.number + 1, now_ms, known, self._has_started, part)
            )

    def earn_until_ms(self, now_ms: int) -> int:
        """Return the time in ms up to which tokens are earned."""
        return min(now_ms, self._earn_until_ms)

    def time_to_start_ms(self, now_ms: int) -> int:
        """Return the least time in ms until this instance earns, 0 if it does."""
        if self._has_started:
            return 0
        first_ms = self._first_confirmed_ms
        if first_ms is None or self._changed_ms is None:
            return USUAL_CONFIRMATION_MS
        due_ms = self._changed_ms + STABLE_MS
        if not (self._is_first_start or self._keeps_share):
            due_ms = max(due_ms, first_ms + SPREAD_MS)
        return max(due_ms - now_ms, 0)

    def epoch_end_ms(self, number: int) -> int | None:
        """Return when an earlier epoch ended, None if that is no longer known."""
        for epoch in self._epochs:
            if epoch.number == number + 1:
                return epoch.start_ms
        return None

    def share(self, account: ClientAccount) -> QuotaShare:
        """Return this instance's share of an account, 0 while it earns nothing."""
        if not self.is_earning or self._instance_id not in self.holders(account):
            return QuotaShare(0.0, 0.0)
        share = self.holder_share(account)
        part = self._epochs[-1].part
        return QuotaShare(share.rate_per_s * part, share.capacity * part)

    def holder_share(self, account: ClientAccount) -> QuotaShare:
        """Return what each holder of an account earns and may keep."""
        count = max(len(self.holders(account)), 1)
        return QuotaShare(
            self.rule.earned_rate(account) / count,
            self.rule.bucket_tokens(account) / count,
        )

    def holders(self, account: ClientAccount) -> tuple[str, ...]:
        """Return the ids of the instances that earn an account's tokens."""
        epoch = self._epochs[-1]
        known = self._holders.get(account.name)
        if known is not None and known[:2] == (epoch.number, account):
            return known[2]
        holders = self._choose_holders(account, epoch.members)
        self._holders[account.name] = (epoch.number, account, holders)
        return holders

    def forget(self, name: str) -> None:
        """Delete what is known of a removed account."""
        self._holders.pop(name, None)

    def _choose_holders(
        self, account: ClientAccount, members: Sequence[QuotaMember]
    ) -> tuple[str, ...]:
        count = self._holder_count(account, members)
        by_id = {member.instance_id: member for member in members}
        if count >= len(by_id):
            return tuple(sorted(by_id))
        order = rendezvous(account.name, by_id, len(by_id))
        first: dict[str, str] = {}
        for name in order:
            first.setdefault(by_id[name].region, name)
        chosen = list(first.values())[:count]
        others = [name for name in order if name not in chosen]
        return tuple(sorted(chosen + others[: count - len(chosen)]))

    def _holder_count(
        self, account: ClientAccount, members: Sequence[QuotaMember]
    ) -> int:
        size = self.rule.bucket_tokens(account)
        usable = int(size / MIN_BUCKET_TOKENS)
        asked = int(MAX_HOLDERS_FILLED_PER_S * size / max(account.rate_per_s, 1e-9))
        regions = len({member.region for member in members})
        return max(min(usable, max(asked, regions)), 1)

    def _may_start(self, live_ids: frozenset[str], now_ms: int) -> bool:
        first_ms = self._first_confirmed_ms
        if first_ms is None or self._changed_ms is None:
            return False
        if self._is_list_complete():
            return True
        if now_ms - self._changed_ms < STABLE_MS:
            return False
        if self._is_first_start or self._keeps_share:
            return True
        are_live = all(member.instance_id in live_ids for member in self._latest)
        return now_ms - first_ms >= (SPREAD_MS if are_live else CONFIRMATION_MS)

    def _is_list_complete(self) -> bool:
        """Return True if the list with the earlier row has all that earn."""
        first_ms = self._first_confirmed_ms
        if not self._keeps_share or self._is_first_start:
            return False
        if self._listed_ms is None or first_ms is None:
            return False
        return first_ms - self._listed_ms <= MAX_LIST_AGE_MS


class QuotaToken(NamedTuple):
    """Hold what a request took: until when in ms it may be returned, and from where."""

    account: str
    expires_ms: int
    is_own: bool


class _Received(NamedTuple):
    amount: float
    expires_ms: int


class AccountBucket:
    """Hold the tokens of one account at one instance.

    Own tokens were earned here and are kept up to the share's capacity. Those received
    from other instances expire. since_ms is the time in ms since which the account is
    in the configuration.
    """

    def __init__(
        self, account: ClientAccount, shares: QuotaShares, since_ms: int
    ) -> None:
        self.account = account
        self._shares = shares
        # Empty: an earlier process of this instance may have just used its share.
        self._own = 0.0
        self._settled_ms = max(since_ms, shares.epoch_start_ms)
        self._epoch = shares.epoch
        self._share = shares.share(account)
        self._received: deque[_Received] = deque()
        # What others earn instead of this instance, and it instead of others.
        self.leased_out = LeaseLedger()
        self._leased_in = LeaseLedger()
        self._out_until_ms = 0
        self.life_ms = shares.rule.token_life_ms(account)
        # Times and amounts of what has left the own tokens within life_ms.
        self._left: deque[tuple[int, float]] = deque()

    @property
    def share(self) -> QuotaShare:
        """Return the share as of the last call with a time."""
        return self._share

    def reconfigure(self, account: ClientAccount, now_ms: int) -> None:
        """Apply a new rate and burst; what is held above their limits is void."""
        self.own_tokens(now_ms)
        self.account = account
        self.life_ms = self._shares.rule.token_life_ms(account)
        self._share = self._shares.share(account)
        # The rate of which they are parts has changed.
        self._leased_in.clear()
        self._own = min(self._own, self.capacity_at(now_ms))
        limit = self._shares.rule.pool_tokens(account)
        while self._received and self.received_tokens(now_ms) > limit:
            self._received.pop()

    def own_tokens(self, now_ms: int) -> float:
        """Return the tokens that were earned here and not used."""
        if self._epoch != self._shares.epoch:
            self._change_epoch()
        self._earn(now_ms, self._share.rate_per_s)
        self._own = min(self._own, self.capacity_at(now_ms))
        return self._own

    def received_tokens(self, now_ms: int) -> float:
        """Return the tokens received from other instances that have not expired."""
        if self._leased_in:
            self.own_tokens(now_ms)
        received = self._received
        while received and received[0].expires_ms <= now_ms:
            received.popleft()
        return sum(part.amount for part in received)

    def tokens(self, now_ms: int) -> float:
        """Return all tokens that may be used."""
        return self.own_tokens(now_ms) + self.received_tokens(now_ms)

    def take(self, now_ms: int) -> QuotaToken | None:
        """Use a token and return it, None if less than one is held."""
        received = self.received_tokens(now_ms)
        if self.own_tokens(now_ms) + received < 1.0 - ROUNDING:
            return None
        expires_ms = now_ms + self.life_ms
        missing = 1.0
        while missing > 0.0 and self._received:
            part = self._received[0]
            expires_ms = min(expires_ms, part.expires_ms)
            if part.amount > missing:
                self._received[0] = part._replace(amount=part.amount - missing)
                missing = 0.0
            else:
                self._received.popleft()
                missing -= part.amount
        if missing > 0.0:
            self._remove_own(missing, now_ms)
        return QuotaToken(self.account.name, expires_ms, missing >= 1.0)

    def give(self, amount: float, now_ms: int) -> None:
        """Remove own tokens before they are sent to another instance."""
        self._remove_own(min(amount, self.own_tokens(now_ms)), now_ms)

    def receive(self, amount: float, expires_ms: int, now_ms: int) -> float:
        """Add tokens of another instance; return how many were within the limit."""
        room = self._shares.rule.pool_tokens(self.account)
        amount = min(amount, room - self.received_tokens(now_ms))
        if amount <= 0.0 or expires_ms <= now_ms:
            return 0.0
        self._add_received(amount, expires_ms)
        return amount

    def earning_per_s(self, now_ms: int) -> float:
        """Return the rate at which this instance earns, with leases."""
        own = self._share.rate_per_s - self.leased_out.rate_at(now_ms)
        return max(own, 0.0) + self._leased_in.rate_at(now_ms)

    def capacity_at(self, at_ms: int) -> float:
        """Return how many own tokens are kept: a lease moves a part of the bucket."""
        if not (self.leased_out or self._leased_in):
            return self._share.capacity
        rule = self._shares.rule
        rate_per_s = max(rule.earned_rate(self.account), 1e-9)
        per_rate = rule.bucket_tokens(self.account) / rate_per_s
        kept = self._share.capacity - per_rate * self.leased_out.rate_at(at_ms)
        return max(kept, 0.0) + per_rate * self._leased_in.rate_at(at_ms)

    def lease_out(self, peer_id: str, lease: RateLease, now_ms: int) -> float:
        """Earn and keep less from now until a lease ends.

        Returns the own tokens that no longer fit and belong to the receiver.
        """
        self.own_tokens(now_ms)
        self.leased_out.add(peer_id, lease)
        self._out_until_ms = max(self._out_until_ms, lease.until_ms)
        moved = max(self._own - self.capacity_at(now_ms), 0.0)
        self._own -= moved
        return moved

    def lease_in(
        self, peer_id: str, lease: RateLease, tokens: float, now_ms: int
    ) -> None:
        """Earn and keep more from now until a lease ends; add the giver's tokens."""
        self.own_tokens(now_ms)
        self._settled_ms = max(self._settled_ms, now_ms)
        self._leased_in.add(peer_id, lease)
        self._own += tokens
        excess = max(self._own - self.capacity_at(now_ms), 0.0)
        self._own -= excess

    def return_lease(self, peer_id: str, now_ms: int) -> LeaseReturn:
        """End the leases of a giver; return them with the tokens that belong to it."""
        self.own_tokens(now_ms)
        lease_ids = self._leased_in.remove(peer_id, now_ms)
        excess = max(self._own - self.capacity_at(now_ms), 0.0)
        self._own -= excess
        return LeaseReturn(lease_ids, excess)

    def take_back(self, peer_id: str, returned: LeaseReturn, now_ms: int) -> None:
        """Earn again what a receiver returned; its tokens count if it was in time."""
        self.own_tokens(now_ms)
        if self.leased_out.remove_ids(peer_id, returned.lease_ids, now_ms):
            own = self._own + max(returned.tokens, 0.0)
            self._own = min(own, self.capacity_at(now_ms))

    def leased_in_rates(self, at_ms: int) -> dict[str, float]:
        """Return the rate that is leased from each other instance."""
        return self._leased_in.rates(at_ms)

    def leased_in_per_s(self, at_ms: int, peer_id: str | None = None) -> float:
        """Return the rate that is leased from one or all other instances."""
        if peer_id is None:
            return self._leased_in.rate_at(at_ms)
        return self._leased_in.rate_of(peer_id, at_ms)

    def void_received(self, now_ms: int) -> None:
        """Delete leases and tokens of other instances; their ages are not known."""
        self._leased_in.clear()
        self._received.clear()
        self._own = min(self._own, self.capacity_at(now_ms))

    def refund(self, token: QuotaToken, now_ms: int) -> bool:
        """Return a token whose request has not run; False if it has expired.

        It goes back to the own tokens if these, with all that left them lately, fit
        into the bucket. Otherwise it is valid as long as a received one.
        """
        if token.expires_ms <= now_ms:
            return False
        own = self.own_tokens(now_ms)
        while self._left and self._left[0][0] <= now_ms - self.life_ms:
            self._left.popleft()
        lately = sum(amount for _, amount in self._left)
        # A part of the bucket that was leased until lately did not hold this token.
        was_leased = now_ms < self._out_until_ms + self.life_ms
        fits = own + lately <= self._share.capacity and not was_leased
        if token.is_own and fits:
            self._own += 1.0
            self._forget_left(token.expires_ms - self.life_ms)
        else:
            self._add_received(1.0, token.expires_ms)
        return True

    def next_token_ms(self, now_ms: int) -> float:
        """Return the time in ms until a whole token is held, if only earned here."""
        missing = 1.0 - self.tokens(now_ms)
        if missing <= 0.0:
            return 0.0
        rate_per_s = self.earning_per_s(now_ms)
        if self.capacity_at(now_ms) < 1.0 or rate_per_s <= 0.0:
            return float("inf")
        return MS_PER_S * missing / rate_per_s

    def _change_epoch(self) -> None:
        shares = self._shares
        before, self._share = self._share, shares.share(self.account)
        if self._epoch < shares.start_epoch or not shares.is_earning:
            self._own = 0.0
            self._settled_ms = shares.epoch_start_ms
        else:
            # Between the first change and the last, the lower rate counts.
            rate_per_s = min(before.rate_per_s, self._share.rate_per_s)
            end_ms = shares.epoch_end_ms(self._epoch)
            if end_ms is not None:
                self._earn(end_ms, before.rate_per_s)
            self._earn(shares.epoch_start_ms, rate_per_s)
        self._epoch = shares.epoch

    def _earn(self, until_ms: int, rate_per_s: float) -> None:
        """Earn up to a time, at a rate of the own share and at those of leases."""
        if until_ms <= self._settled_ms:
            return
        earn_until_ms = self._shares.earn_until_ms(until_ms)
        if not (self.leased_out or self._leased_in):
            if earn_until_ms > self._settled_ms:
                earned = rate_per_s * (earn_until_ms - self._settled_ms) / MS_PER_S
                self._own += earned
                self._settled_ms = earn_until_ms
            return
        ends = {
            *self.leased_out.ends_ms(),
            *self._leased_in.ends_ms(),
            earn_until_ms,
            until_ms,
        }
        for end_ms in sorted(ends):
            if self._settled_ms < end_ms <= until_ms:
                own_rate = rate_per_s if end_ms <= earn_until_ms else 0.0
                self._earn_period(end_ms, own_rate)
        self.leased_out.forget(until_ms)
        self._leased_in.forget(until_ms)

    def _earn_period(self, end_ms: int, own_rate: float) -> None:
        """Earn in a period within which no lease begins or ends.

        Tokens of leases that do not fit expire a token life after they were earned.
        """
        start_ms, self._settled_ms = self._settled_ms, end_ms
        leased = self._leased_in.rate_at(start_ms)
        rate = max(own_rate - self.leased_out.rate_at(start_ms), 0.0) + leased
        self._own += rate * (end_ms - start_ms) / MS_PER_S
        excess = self._own - self.capacity_at(start_ms)
        if excess > 0.0:
            self._own -= excess
            if leased > 0.0:
                self._add_earned(excess, rate, start_ms, end_ms)
        # A lease that ends takes its part of the bucket along.
        self._expel(end_ms + self.life_ms, end_ms)

    def _add_earned(
        self, amount: float, rate_per_s: float, start_ms: int, end_ms: int
    ) -> None:
        """Add tokens that were earned at the end of a period."""
        part_ms = max(self.life_ms // LEASED_PARTS, 1)
        while amount > 0.0 and end_ms > start_ms:
            part_start_ms = max((end_ms - 1) // part_ms * part_ms, start_ms)
            part = min(rate_per_s * (end_ms - part_start_ms) / MS_PER_S, amount)
            self._add_received(part, part_start_ms + self.life_ms)
            amount -= part
            end_ms = part_start_ms

    def _expel(self, expires_ms: int, now_ms: int) -> float:
        """Let own tokens that do not fit into the bucket expire; return how many."""
        excess = self._own - self.capacity_at(now_ms)
        if excess <= 0.0:
            return 0.0
        self._own -= excess
        self._add_received(excess, expires_ms)
        return excess

    def _remove_own(self, amount: float, now_ms: int) -> None:
        self._own = max(self._own - amount, 0.0)
        self._left.append((now_ms, amount))
        while self._left[0][0] <= now_ms - self.life_ms:
            self._left.popleft()

    def _forget_left(self, left_ms: int) -> None:
        if (left_ms, 1.0) in self._left:
            self._left.remove((left_ms, 1.0))

    def _add_received(self, amount: float, expires_ms: int) -> None:
        index = len(self._received)
        while index and self._received[index - 1].expires_ms > expires_ms:
            index -= 1
        if index and self._received[index - 1].expires_ms == expires_ms:
            amount += self._received[index - 1].amount
            self._received[index - 1] = _Received(amount, expires_ms)
            return
        self._received.insert(index, _Received(amount, expires_ms))
