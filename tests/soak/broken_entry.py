"""Start an entry instance with the built-in fault that SOAK_VARIANT names."""

import asyncio
import os

from rhubarbwell_core.direct import AttemptResult, LoadBalancer
from rhubarbwell_entry.direct import forwarding
from rhubarbwell_entry.direct.forwarding import RequestOutcome, RequestResult
from rhubarbwell_entry.direct.main import run
from rhubarbwell_wire.adapter import UsersPlatform

REVERT_DELAY_S = 0.7


def treat_broken_as_not_run() -> None:
    """Treat a broken connection as proof that the request did not run."""
    proofs = (AttemptResult.NOT_SENT, AttemptResult.NOT_RUN, AttemptResult.BROKEN)
    is_proof = property(lambda result: result in proofs)
    AttemptResult.proves_not_run = is_proof  # type: ignore[method-assign]


def refuse_unknown_outcomes() -> None:
    """Refuse requests as not run where the outcome is unknown."""
    unanswered_result = forwarding._unanswered_result

    def refuse(verdict: forwarding.Verdict, detail: str) -> RequestResult:
        result = unanswered_result(verdict, detail)
        if result.outcome is RequestOutcome.UNKNOWN:
            return RequestResult(RequestOutcome.REFUSED, 503, detail, 50)
        return result

    forwarding._unanswered_result = refuse


def revert_configurations() -> None:
    """Revert to the previous configuration REVERT_DELAY_S after each change."""
    configure = LoadBalancer.configure

    def configure_and_revert(balancer, config):  # type: ignore[no-untyped-def]
        previous = balancer.config
        applied = configure(balancer, config)
        if applied and previous is not None:

            def restore() -> None:
                balancer.config = None
                configure(balancer, previous)

            asyncio.get_running_loop().call_later(REVERT_DELAY_S, restore)
        return applied

    LoadBalancer.configure = configure_and_revert  # type: ignore[method-assign]


VARIANTS = {
    "send_twice": treat_broken_as_not_run,
    "refuse_falsely": refuse_unknown_outcomes,
    "go_back": revert_configurations,
}

if __name__ == "__main__":
    VARIANTS[os.environ["SOAK_VARIANT"]]()
    run(UsersPlatform())
