"""A fleet state without network, and a row of a backend server."""

import json
from random import Random

from rhubarbwell_core.direct import (
    InstanceEntry,
    InstanceTable,
    LoadBalancer,
    LoadBalancerRules,
    ReplicaRow,
    ReplicaUpdate,
    RetryBudgetRule,
)
from rhubarbwell_core.model import Address
from rhubarbwell_entry.direct.state import FleetState
from rhubarbwell_wire.adapter import UsersPlatform
from support.users_platform import config_body
from support.versions import at

__all__ = ["BACKEND_ENTRY", "make_fleet_state"]

HERE = Address("127.0.0.1", 80)
BACKEND_ENTRY = {
    "service": "svc",
    "address": "10.128.0.9:8080",
    "zone": "a-1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemaining": "1.5s",
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def make_fleet_state() -> FleetState:
    """Return the state of instance i-1 with a configuration in force."""
    balancer = LoadBalancer(
        "i-1",
        "a-1",
        {"a-1": "a", "a-2": "a", "b-1": "b"},
        LoadBalancerRules(RetryBudgetRule(0.2, 62.0, 10_000)),
        Random(1),
    )
    own = InstanceEntry("i-1", "x", "a-1", "a", HERE, HERE)
    instances = InstanceTable(own, liveness_timeout_ms=4_400)
    state = FleetState(UsersPlatform(), balancer, instances)
    config = json.dumps(config_body()).encode()
    state.apply(
        "op", ReplicaUpdate([ReplicaRow("config", at(1), config)], at(1)), 1_000
    )
    return state
