"""Explain which backend server a request would go to now, without sending it."""

from collections.abc import Mapping
from typing import NamedTuple

from rhubarbwell_core.direct.accounts import ClientAccount
from rhubarbwell_core.direct.balancer import LoadBalancer
from rhubarbwell_core.direct.model import Route
from rhubarbwell_core.direct.requests import ActiveRequest, Refusal, Target
from rhubarbwell_core.direct.weighing import ChoiceTrace, Exclusion, WeighedServer

__all__ = ["ChoiceExplanation", "explain_choice"]

# Names the request of a query. The copy of the balancer that sees it is discarded.
QUERY_REQUEST_ID = "query"


class ChoiceExplanation(NamedTuple):
    """Hold what a request would meet: the servers, and the choice or refusal.

    weighed has the servers that may get the request, that of the least cost first;
    excluded has all others of the service. assigned_region is the region that the
    object is assigned to, as in ChoiceTrace.
    """

    req: ActiveRequest
    choice: Target | Refusal
    weighed: tuple[WeighedServer, ...]
    excluded: Mapping[str, Exclusion]
    assigned_region: str | None


def explain_choice(
    balancer: LoadBalancer,
    route: Route,
    key: str,
    deadline_ms: int,
    now_ms: int,
    *,
    body_bytes: int = 0,
    account: ClientAccount | None = None,
) -> ChoiceExplanation:
    """Return what the balancer would choose if the request arrived now.

    The request is started and a server chosen as for any other, but at a copy of the
    balancer, random state included: the balancer's next choice is the one that it would
    have made without the query. With the operating system's random numbers, which
    nobody can know before, it is one of the choices that they allow.
    """
    copy = balancer.copy_for_query()
    req = copy.start_request(
        QUERY_REQUEST_ID,
        route,
        key,
        deadline_ms,
        now_ms,
        body_bytes=body_bytes,
        account=account,
    )
    trace = ChoiceTrace()
    choice = copy.choose_backend(req, now_ms, trace)
    weighed = sorted(trace.weighed, key=lambda server: server.cost_ms)
    excluded = trace.excluded | balancer.backends.unavailable(req.service)
    return ChoiceExplanation(
        req, choice, tuple(weighed), excluded, trace.assigned_region
    )
