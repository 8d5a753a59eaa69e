"""HTTP calls to the platform with time-outs, retries and rate limits."""

import asyncio
from collections.abc import Callable, Mapping
from enum import Enum
from random import Random
from typing import Any, NamedTuple

import aiohttp
from aiolimiter import AsyncLimiter
from rhubarbwell_core.errors import DECODING_ERRORS
from tenacity import (
    AsyncRetrying,
    RetryCallState,
    retry_if_exception_type,
    stop_after_attempt,
)
from tenacity.wait import wait_base

from rhubarbwell_platform.errors import (
    AnswerLostError,
    ConflictError,
    HistoryLostError,
    MissingObjectError,
    UnavailableError,
)
from rhubarbwell_platform.http.breaker import CircuitBreaker
from rhubarbwell_platform.http.timeouts import SocketTimeout

__all__ = [
    "CallKind",
    "ClientOptions",
    "PlatformAnswer",
    "PlatformClient",
    "RateLimits",
]

FLEET_READS_PER_S = 1_600.0
FLEET_WRITES_PER_S = 240.0
BURST_CALLS = 10


class ClientOptions(NamedTuple):
    """Hold the time-outs, retries and rate limits of calls to the platform."""

    timeout_ms: int = 2_000
    connect_timeout_ms: int = 2_000
    max_tries: int = 4
    initial_backoff_ms: int = 50
    max_backoff_ms: int = 1_000
    reads_per_s: float = 100.0
    writes_per_s: float = 20.0
    failures_to_open: int = 5
    open_duration_ms: int = 2_000


class CallKind(Enum):
    """Distinguish calls by whether they may be repeated after a lost answer."""

    READ = "read"
    IDEMPOTENT_WRITE = "idempotent write"
    WRITE = "write"


class PlatformAnswer(NamedTuple):
    """Hold the headers and the decoded JSON body of an answer."""

    headers: Mapping[str, str]
    body: Any


class RateLimits:
    """Limit the rates of reads and writes of the clients that share this object."""

    def __init__(self, options: ClientOptions) -> None:
        self._options = options
        self._max_wait_s = options.timeout_ms / 1_000
        self._instances = 1
        self._set_rates(options.reads_per_s, options.writes_per_s)

    def set_fleet_size(self, instances: int) -> None:
        """Set the rates so that the whole fleet stays within the platform's limits.

        The rates never exceed those of the options.
        """
        if instances == self._instances:
            return
        self._instances = instances
        self._set_rates(
            min(self._options.reads_per_s, FLEET_READS_PER_S / instances),
            min(self._options.writes_per_s, FLEET_WRITES_PER_S / instances),
        )

    async def acquire(self, kind: CallKind) -> None:
        """Wait until the rate allows a call.

        Raises UnavailableError after the time-out.
        """
        limiter = self._reads if kind is CallKind.READ else self._writes
        try:
            async with asyncio.timeout(self._max_wait_s):
                await limiter.acquire()
        except TimeoutError:
            raise UnavailableError("the rate of calls is at its limit") from None

    def _set_rates(self, reads_per_s: float, writes_per_s: float) -> None:
        self._reads = _limiter(reads_per_s)
        self._writes = _limiter(writes_per_s)


class PlatformClient:
    """Send calls to one service of the platform.

    check_headers is called with the headers of every answer, also of one that reports
    an error. A ValueError that it raises makes the answer count as malformed.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        rng: Random,
        *,
        options: ClientOptions,
        limits: RateLimits,
        check_headers: Callable[[Mapping[str, str]], None] | None = None,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._options = options
        self._limits = limits
        self._check_headers = check_headers
        self._wait = _JitteredBackoff(rng, options)
        self._breaker = CircuitBreaker(
            rng,
            failures_to_open=options.failures_to_open,
            open_duration_ms=options.open_duration_ms,
        )

    async def call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        *,
        wait_ms: int = 0,
    ) -> Any:
        """Return the JSON body of a call's answer; raise as exchange does."""
        return (await self.exchange(kind, method, path, body, wait_ms=wait_ms)).body

    async def exchange(
        self,
        kind: CallKind,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        *,
        wait_ms: int = 0,
    ) -> PlatformAnswer:
        """Return the answer of a call.

        wait_ms is added to the time-out for a call that the platform may hold open.
        Raises UnavailableError, AnswerLostError (writes only), ConflictError,
        MissingObjectError and HistoryLostError.
        """
        errors: tuple[type[Exception], ...] = (UnavailableError,)
        if kind is CallKind.IDEMPOTENT_WRITE:
            errors = (UnavailableError, AnswerLostError)
        retrying = AsyncRetrying(
            retry=retry_if_exception_type(errors),
            stop=stop_after_attempt(self._options.max_tries),
            wait=self._wait,
            reraise=True,
        )
        return await retrying(self._call_once, kind, method, path, body, wait_ms)

    async def _call_once(
        self,
        kind: CallKind,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        wait_ms: int,
    ) -> PlatformAnswer:
        await self._limits.acquire(kind)
        if not self._breaker.allow(_now_ms()):
            raise UnavailableError("the circuit breaker of the platform is open")
        try:
            answer = await self._send(kind, method, path, body, wait_ms)
        except (UnavailableError, AnswerLostError):
            self._breaker.record_failure(_now_ms())
            raise
        except (ConflictError, HistoryLostError, MissingObjectError):
            self._breaker.record_success()
            raise
        self._breaker.record_success()
        return answer

    async def _send(
        self,
        kind: CallKind,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        wait_ms: int,
    ) -> PlatformAnswer:
        lost_error = UnavailableError if kind is CallKind.READ else AnswerLostError
        total_ms = self._options.timeout_ms + wait_ms
        connect_timeout = aiohttp.ClientTimeout(
            sock_connect=self._options.connect_timeout_ms / 1_000
        )
        url = f"{self._base_url}{path}"
        try:
            async with (
                SocketTimeout(total_ms / 1_000),
                self._session.request(
                    method, url, json=body, timeout=connect_timeout
                ) as resp,
            ):
                if self._check_headers is not None:
                    self._check_headers(resp.headers)
                return PlatformAnswer(
                    resp.headers, await _read_answer(resp, lost_error)
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise UnavailableError(f"no connection to the platform: {exc}") from exc
        except TimeoutError as exc:
            raise lost_error("the platform did not answer in time") from exc
        except (aiohttp.ClientError, *DECODING_ERRORS) as exc:
            raise lost_error(
                f"the platform's answer is incomplete or malformed: {exc!r}"
            ) from exc


async def _read_answer(
    resp: aiohttp.ClientResponse, lost_error: type[UnavailableError | AnswerLostError]
) -> Any:
    if resp.status == 429:
        raise UnavailableError("the platform limits the rate of calls")
    if resp.status >= 500:
        raise lost_error(f"the platform answered {resp.status}")
    if resp.status == 410:
        raise HistoryLostError("the platform no longer has the history")
    body = await resp.json()
    if resp.status == 404:
        raise MissingObjectError(str(body["key"]))
    if resp.status in (409, 412):
        raise ConflictError(str(body.get("key", "")))
    if resp.status >= 400:
        raise UnavailableError(f"the platform refused the call: {body}")
    return body


class _JitteredBackoff(wait_base):
    """Wait a random part of a time that doubles with every attempt, up to a maximum."""

    def __init__(self, rng: Random, options: ClientOptions) -> None:
        self._rng = rng
        self._options = options

    def __call__(self, retry_state: RetryCallState) -> float:
        max_wait_ms = self._options.initial_backoff_ms * 2**retry_state.attempt_number
        max_wait_ms = min(max_wait_ms, self._options.max_backoff_ms)
        return self._rng.uniform(0, max_wait_ms) / 1_000


def _limiter(rate_per_s: float) -> AsyncLimiter:
    return AsyncLimiter(BURST_CALLS, BURST_CALLS / rate_per_s)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1_000
