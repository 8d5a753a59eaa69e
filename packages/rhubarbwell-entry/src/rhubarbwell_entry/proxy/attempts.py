"""Run the attempts that the core decides on and report how they end."""

import asyncio
import logging
import ssl

from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    CancelAttempt,
    ConnectionSilent,
    PassToOwner,
    SendAttempt,
)
from rhubarbwell_core.model import host_port

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.proxy.accounts import AccountCheck
from rhubarbwell_entry.proxy.connections import VerifyingConnector, make_client_session
from rhubarbwell_entry.proxy.exchanges import Exchange, ExchangeTable
from rhubarbwell_entry.proxy.peers import HopKeys, PeerHop
from rhubarbwell_entry.proxy.sending import Attempt, AttemptPlan, HopCredentials

__all__ = ["AttemptSender"]

_log = logging.getLogger(__name__)


class AttemptSender:
    """Run the core's attempts at backend servers and peers as asyncio tasks."""

    def __init__(
        self,
        driver: CoreDriver,
        exchanges: ExchangeTable,
        accounts: AccountCheck,
        hop_keys: HopKeys | None,
        peer_tls: ssl.SSLContext | None,
    ) -> None:
        self._driver = driver
        self._exchanges = exchanges
        self._accounts = accounts
        self._hop_keys = hop_keys
        self._peer_tls = peer_tls
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._closing = False
        self._connector = VerifyingConnector()
        self._session = make_client_session(self._connector)
        driver.register(SendAttempt, self.send)
        driver.register(PassToOwner, self.pass_to_owner)
        driver.register(CancelAttempt, self.cancel)

    def send(self, action: SendAttempt) -> None:
        """Start an attempt at a backend server or, under a grant, at a peer."""
        target = action.target
        plan = AttemptPlan(
            action.attempt_id,
            target.address,
            action.deadline_ms,
            backend_id=target.target_id if target.grant_id is None else None,
            grant_id=target.grant_id or "",
            fresh_connection=action.fresh_connection,
            send_before_ms=target.send_before_ms,
            bytes_per_s=target.bytes_per_s,
        )
        self._start_attempt(action.request_id, plan)

    def pass_to_owner(self, action: PassToOwner) -> None:
        """Start an attempt at the entry instance that owns the request's key."""
        plan = AttemptPlan(action.attempt_id, action.address, action.deadline_ms)
        self._start_attempt(action.request_id, plan)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt and close its connection to stop the run at its target."""
        task = self._tasks.get(action.attempt_id)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Cancel the running attempts and close every connection."""
        self._closing = True
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()

    def _start_attempt(self, request_id: int, plan: AttemptPlan) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange is None or self._closing:
            return
        run = self._run_attempt(plan, exchange)
        self._tasks[plan.attempt_id] = asyncio.create_task(run)

    async def _run_attempt(self, plan: AttemptPlan, exchange: Exchange) -> None:
        started_ms = self._driver.clock_ms()
        client_attempt = self._connector.start_attempt(
            idempotent=exchange.arrival.idempotent, fresh=plan.fresh_connection
        )
        attempt = Attempt(
            plan,
            exchange,
            self._driver,
            self._session,
            client_attempt,
            self._hop_credentials(plan),
        )
        refused = self._refused_end(plan, exchange)
        exchange.sent_attempts += 1
        try:
            is_expired = plan.is_expired(started_ms)
            if refused is None and is_expired:
                refused = AttemptEnd.PEER_NOT_RUN
            end = await attempt.run() if refused is None else refused
        except asyncio.CancelledError:
            end = AttemptEnd.CANCELLED
        except Exception:
            _log.exception(
                "attempt failed with an unexpected exception",
                extra={"event": "attempt_failed", "attempt_id": plan.attempt_id},
            )
            end = AttemptEnd.RESET_BEFORE_ANSWER
        if not attempt.bytes_sent:
            exchange.sent_attempts -= 1
        self._tasks.pop(plan.attempt_id, None)
        if attempt.ended_by_silence(end):
            self._retire_connections(plan)
        event = AttemptEnded(
            plan.attempt_id,
            end,
            attempt.bytes_sent,
            self._driver.clock_ms() - started_ms,
            attempt.status,
            attempt.connection_was_fresh,
            exchange.body.replayable and exchange.response is None,
            attempt.peer_reason,
            attempt.answer,
        )
        client_attempt.end()
        self._driver.handle(event)

    def _refused_end(self, plan: AttemptPlan, exchange: Exchange) -> AttemptEnd | None:
        """Return how an attempt ends that must not be sent, None if it may be.

        The account is identified anew until something was sent. The core chose a peer
        by the account that the request had when it arrived.
        """
        if not exchange.sent_attempts:
            refused = self._accounts.refused_end(exchange)
            if refused is not None:
                return refused
        is_to_peer = plan.backend_id is None
        if is_to_peer and not exchange.has_account_of_arrival():
            return AttemptEnd.PEER_NOT_RUN
        return None

    def _hop_credentials(self, plan: AttemptPlan) -> HopCredentials | None:
        if plan.backend_id is not None or self._hop_keys is None:
            return None
        instance_id = self._driver.core.identity.instance_id
        hop = PeerHop(instance_id, plan.attempt_id, "", plan.grant_id)
        return HopCredentials(hop, self._hop_keys, self._peer_tls)

    def _retire_connections(self, plan: AttemptPlan) -> None:
        retired = self._connector.retire(plan.address)
        log_event(
            _log,
            logging.WARNING,
            "connection_silent",
            "a connection made no progress; retired its server's idle connections",
            target=host_port(plan.address),
            retired=retired,
        )
        if plan.backend_id is not None:
            self._driver.handle(ConnectionSilent(plan.backend_id))
