"""A fleet of entry instances and backend servers on a virtual clock."""

import heapq
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable
from itertools import count
from random import Random
from typing import NamedTuple

from rhubarbwell_core.direct import (
    ActiveRequest,
    AttemptReport,
    AttemptResult,
    BackendEntry,
    LoadBalancer,
    LoadBalancerRules,
    LoadReport,
    Refusal,
    RequestKind,
    RetryBudgetRule,
    Route,
    RoutingConfig,
    ServiceRule,
    SplitPart,
    Target,
    Verdict,
)
from rhubarbwell_core.model import Address

QUEUE = 9
SLOTS = 3
ADVANCE_MS = 250
IDLE_MS = 10_000


class Work(NamedTuple):
    """Describe a service's work in ms and what its servers remember."""

    warm_ms: float = 108.0
    cold_ms: float = 360.0
    objects: int = 47
    remembered: int = 32


class Load(NamedTuple):
    """Offer requests a second from a zone between two times in ms."""

    zone: str
    per_s: float
    from_ms: int = 0
    to_ms: int = 20_000
    route: str = "read"
    body_bytes: int = 0


class FleetServer:
    """Run requests in slots, keep a short queue and remember objects."""

    def __init__(self, entry: BackendEntry, work: Work, rng: Random) -> None:
        self.entry = entry
        self.work = work
        self.rng = rng
        self.slowness = 1.0
        self.shed_share = 0.0
        self.down = False
        self.running = 0
        self.queue: list[Callable[[int], None]] = []
        self.objects: OrderedDict[str, None] = OrderedDict()
        self.arrivals = 0
        self.hits = 0

    def work_ms(self, object_key: str) -> float:
        self.hits += object_key in self.objects
        base = self.work.cold_ms
        if object_key in self.objects:
            base = self.work.warm_ms
        self.objects[object_key] = None
        self.objects.move_to_end(object_key)
        if len(self.objects) > self.work.remembered:
            self.objects.popitem(last=False)
        return base * self.slowness * self.rng.uniform(0.85, 1.15)


class Ended(NamedTuple):
    """Tell how a request ended; status as a caller sees it."""

    zone: str
    route: str
    object_key: str
    status: int
    latency_ms: float
    at_ms: int
    region_run: str | None


class DirectFleet:
    """Drive the steering of many instances against simulated servers."""

    def __init__(
        self,
        zones: dict[str, str],
        servers: dict[str, int],
        *,
        instances: int = 6,
        work: Work | None = None,
        routes: tuple[Route, ...] | None = None,
        seed: int = 1,
        region_rtt_ms: float = 70.0,
    ) -> None:
        self.rng = Random(seed)
        self.zones = zones
        self.region_rtt_ms = region_rtt_ms
        self.ended: list[Ended] = []
        self.sends = Counter[str]()
        self._idle = defaultdict[tuple[int, str], list[int]](list)
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._ids = count()
        self.routes = routes or (read_route(),)
        self.config = RoutingConfig(
            1,
            self.routes,
            {"svc": ServiceRule("svc", cold_start_ms=3_000, cold_rate_per_s=6.8)},
        )
        self.servers: dict[str, FleetServer] = {}
        for zone, number in servers.items():
            for _ in range(number):
                self.add_server(zone, work or Work())
        names = [f"i-{n}" for n in range(instances)]
        places = sorted(zones)
        self.steerings: list[LoadBalancer] = []
        for index, name in enumerate(names):
            steering = LoadBalancer(
                name,
                places[index % len(places)],
                zones,
                LoadBalancerRules(RetryBudgetRule(0.2, 62, 10_000)),
                Random(seed * 1_000 + index),
            )
            steering.configure(self.config)
            steering.set_instances(len(names), names)
            steering.set_capacity_by_region(dict(Counter(zones[p] for p in places)))
            for server in self.servers.values():
                steering.backends.put(server.entry, 0)
            self.steerings.append(steering)

    def add_server(self, zone: str, work: Work) -> FleetServer:
        number = len(self.servers)
        entry = BackendEntry(
            f"b-{number}", "svc", Address("10.0.0.1", 1_000 + number), zone, SLOTS
        )
        server = FleetServer(entry, work, Random(number))
        self.servers[entry.backend_id] = server
        return server

    def at(self, when_ms: float, call: Callable[[int], None]) -> None:
        heapq.heappush(self._events, (round(when_ms), next(self._ids), call))

    def run(self, loads: list[Load]) -> None:
        """Play the loads to their end and all requests to theirs."""
        end_ms = max(load.to_ms for load in loads)
        for now_ms in range(0, end_ms, ADVANCE_MS):
            self.at(now_ms, self._advance)
        for load in loads:
            self._arrive(load, load.from_ms)
        while self._events:
            now_ms, _, call = heapq.heappop(self._events)
            call(now_ms)

    def _advance(self, now_ms: int) -> None:
        for steering in self.steerings:
            steering.advance(now_ms)

    def share(
        self,
        *,
        zone: str | None = None,
        route: str | None = None,
        from_ms: int = 0,
        within_ms: float = 300.0,
    ) -> float:
        """Return the share of requests that were answered within a time."""
        rows = [
            row
            for row in self.ended
            if row.at_ms >= from_ms
            and (zone is None or row.zone == zone)
            and (route is None or row.route == route)
        ]
        good = [r for r in rows if r.status == 200 and r.latency_ms <= within_ms]
        return len(good) / len(rows)

    def hit_share(self) -> float:
        """Return the share of sends that met a server that held the object."""
        hits = sum(server.hits for server in self.servers.values())
        return hits / sum(server.arrivals for server in self.servers.values())

    def _arrive(self, load: Load, now_ms: float) -> None:
        if now_ms >= load.to_ms:
            return
        self.at(now_ms, lambda at_ms: self._request(load, at_ms))
        gap_ms = self.rng.expovariate(load.per_s) * 1_000
        self.at(now_ms + gap_ms, lambda at_ms: self._arrive(load, at_ms))

    def _request(self, load: Load, now_ms: int) -> None:
        nearest = [s for s in self.steerings if s.zone == load.zone]
        steering = self.rng.choice(nearest or self.steerings)
        route = next(r for r in self.routes if r.name == load.route)
        work = next(iter(self.servers.values())).work
        key = str(self.rng.randrange(work.objects))
        request_id = f"r-{next(self._ids)}"
        req = steering.start_request(
            request_id,
            route,
            key,
            now_ms + 2_000,
            now_ms,
            body_bytes=load.body_bytes,
        )
        self._try(steering, req, load, now_ms)

    def _try(
        self, steering: LoadBalancer, req: ActiveRequest, load: Load, now_ms: int
    ) -> None:
        choice = steering.choose_backend(req, now_ms)
        if isinstance(choice, Refusal):
            status = 502 if req.may_have_run else 503
            self._end(req, load, status, now_ms, None)
            return
        steering.start_attempt(req, choice, now_ms)
        self.sends[choice.backend_id] += 1
        server = self.servers[choice.backend_id]
        rtt_ms = self._rtt_ms(steering.zone, server.entry.zone)
        connect_ms = self._connect_ms(steering, server, rtt_ms, now_ms)
        finish = self._finisher(steering, req, choice, load, now_ms, connect_ms)
        self.at(
            now_ms + connect_ms + rtt_ms / 2,
            lambda at_ms: self._reach(
                server,
                req,
                at_ms,
                lambda result, t: self.at(
                    t + rtt_ms / 2, lambda end_ms: finish(result, end_ms, server)
                ),
            ),
        )

    def _finisher(
        self,
        steering: LoadBalancer,
        req: ActiveRequest,
        target: Target,
        load: Load,
        started_ms: int,
        fresh_ms: float,
    ) -> Callable[[AttemptResult, int, FleetServer], None]:
        def finish(result: AttemptResult, now_ms: int, server: FleetServer) -> None:
            header = LoadReport(server.running + 1, len(server.queue), SLOTS)
            if result is AttemptResult.ANSWERED and now_ms > req.expires_ms:
                result = AttemptResult.TIMED_OUT
            known = None if result is AttemptResult.NOT_SENT else header
            if result is not AttemptResult.NOT_SENT:
                self._idle[id(steering), server.entry.backend_id].append(now_ms)
            connect_ms = fresh_ms or None
            report = AttemptReport(
                result, now_ms - started_ms, known, connect_ms=connect_ms
            )
            verdict = steering.end_attempt(req, target, report, now_ms)
            if verdict is Verdict.RETRY:
                self._try(steering, req, load, now_ms)
                return
            statuses = {Verdict.DELIVER: 200, Verdict.REFUSE: 503, Verdict.TIMEOUT: 504}
            region = self.zones[server.entry.zone]
            self._end(req, load, statuses.get(verdict, 502), now_ms, region)

        return finish

    def _reach(
        self,
        server: FleetServer,
        req: ActiveRequest,
        now_ms: int,
        answer: Callable[[AttemptResult, int], None],
    ) -> None:
        if server.down:
            answer(AttemptResult.NOT_SENT, now_ms)
            return
        server.arrivals += 1
        shed = server.rng.random() < server.shed_share
        if shed or (server.running >= SLOTS and len(server.queue) >= QUEUE):
            answer(AttemptResult.NOT_RUN, now_ms)
            return

        def start(start_ms: int) -> None:
            server.running += 1
            work_ms = server.work_ms(req.object_key)
            self.at(start_ms + work_ms, done)

        def done(end_ms: int) -> None:
            server.running -= 1
            answer(AttemptResult.ANSWERED, end_ms)
            if server.queue:
                server.queue.pop(0)(end_ms)

        if server.running < SLOTS:
            start(now_ms)
        else:
            server.queue.append(start)

    def _connect_ms(
        self,
        steering: LoadBalancer,
        server: FleetServer,
        rtt_ms: float,
        now_ms: int,
    ) -> float:
        """Return the time to open a connection, 0 where one is idle."""
        idle = self._idle[id(steering), server.entry.backend_id]
        if idle and now_ms - idle.pop() <= IDLE_MS:
            return 0.0
        idle.clear()
        return rtt_ms

    def _rtt_ms(self, zone: str, other: str) -> float:
        if zone == other:
            return 0.5
        same = self.zones[zone] == self.zones[other]
        return 6.0 if same else self.region_rtt_ms

    def _end(
        self,
        req: ActiveRequest,
        load: Load,
        status: int,
        now_ms: int,
        region: str | None,
    ) -> None:
        self.ended.append(
            Ended(
                load.zone,
                req.route.name,
                req.object_key,
                status,
                now_ms - req.arrived_ms,
                now_ms,
                region,
            )
        )


def read_route(
    name: str = "read",
    *,
    kind: RequestKind = RequestKind.SAFE,
    priority: int = 1,
    objective_ms: int = 300,
    timeout_ms: int = 800,
) -> Route:
    """Return a route to the fleet's one service."""
    return Route(
        name,
        "h",
        f"/{name}/",
        kind,
        (SplitPart("svc", 1.0),),
        timeout_ms,
        objective_ms,
        max_attempts=2,
        priority=priority,
        sticky=True,
    )
