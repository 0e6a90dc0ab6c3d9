"""Checks limits, slow start, leaving origins, evacuations and retries at the end of a simulated day.

The checks use only the records of the origins themselves, not the view that any node has of them.
"""

import bisect
import typing

from irisstand.balancing import slow_start
from irisstand.simulator import simulated_cluster, simulated_origins

LEAVING_GRACE_SECONDS = 2.0
EVACUATION_GRACE_SECONDS = 5.0
RATE_WINDOW_SECONDS = 1.0
RETRY_WINDOW_SECONDS = 10
RETRY_SHARE = 0.2


class ServiceLimit(typing.NamedTuple):
    """Rate limit of a service in requests per second, and its concurrency limit in requests in flight."""

    rate: int
    in_flight: int


ServiceLimits = dict[str, ServiceLimit]


class OriginInvariants:
    """Checks of the origins' records of one simulated day."""

    def __init__(
        self, cluster: simulated_cluster.SimulatedCluster, limits: dict[str, tuple[int, int]]
    ) -> None:
        self.cluster = cluster
        self.actors = cluster.actors
        self.checker = cluster.actors.checker
        self.limits = {service: ServiceLimit(*limit) for service, limit in limits.items()}

    def check_records(self) -> None:
        """Check all invariants on the records of all origins."""
        for service, limit in self.limits.items():
            origins = [origin for origin in self.actors.all_origins if origin.service == service]
            self.check_rate(service, origins, limit.rate)
            self.check_in_flight(service, origins, limit.in_flight)
            even_rate = limit.rate / max(1, self.actors.minimum_origin_counts[service])
            for origin in origins:
                self.check_cold(origin, even_rate)
                self.check_leaving(origin)
                self.check_evacuated(origin)
        self.check_retries()

    def check_rate(self, service: str, origins: list[simulated_origins.SimulatedOrigin], limit: int) -> None:
        """Check the number of requests of a service in the second before each request."""
        invariant = "no service gets more requests in any one second than its rate limit"
        start_times = sorted(start_time for origin in origins for start_time, _ in origin.started)
        for position, start_time in enumerate(start_times):
            count = position + 1 - bisect.bisect_right(start_times, start_time - RATE_WINDOW_SECONDS)
            self.checker.check(
                invariant, count <= limit, f"{service}: {count} requests over {limit} at {start_time:.3f}"
            )

    def check_in_flight(
        self, service: str, origins: list[simulated_origins.SimulatedOrigin], limit: int
    ) -> None:
        """Check the number of requests in flight at the start of each; ends at the same time count first."""
        invariant = "no service has more requests in flight than its concurrency limit"
        events = [(start, 1) for origin in origins for start, _ in origin.work_periods]
        events += [(end, -1) for origin in origins for _, end in origin.work_periods]
        count = 0
        for event_time, step in sorted(events):
            count += step
            if step > 0:
                self.checker.check(
                    invariant,
                    count <= limit,
                    f"{service}: {count} in flight over {limit} at {event_time:.3f}",
                )

    def check_cold(self, origin: simulated_origins.SimulatedOrigin, even_rate: float) -> None:
        """Check that a cold origin gets at most the warm fraction of an even rate, plus one per shield."""
        invariant = "a cold origin gets no more requests than slow start allows"
        start_times = [start_time for start_time, _ in origin.started]
        for began, lasts in origin.warmup_periods:
            first = bisect.bisect_left(start_times, began)
            for position in range(first, bisect.bisect_left(start_times, began + lasts)):
                start_time = start_times[position]
                window_start = max(began, start_time - RATE_WINDOW_SECONDS)
                count = position + 1 - bisect.bisect_right(start_times, window_start)
                warmth = slow_start.warm_fraction(start_time - began, lasts)
                limit = even_rate * warmth + self.cluster.shape.shields
                example = f"{origin.instance}: {count} requests over {limit:.1f} at {start_time:.3f}"
                self.checker.check(invariant, count <= limit, f"{example}, cold since {began:.3f}")

    def check_leaving(self, origin: simulated_origins.SimulatedOrigin) -> None:
        """Check that an origin gets no new requests some time after the platform listed it as leaving."""
        invariant = "a leaving origin gets no new work 2 s after the platform says so"
        for listed_at, until in origin.leaving_periods:
            due = self.learnable_at(listed_at) + LEAVING_GRACE_SECONDS
            late_requests = [start_time for start_time, _ in origin.started if due < start_time < until]
            self.checker.check(
                invariant,
                not late_requests,
                f"{origin.instance} leaving since {listed_at:.2f}: requests at {late_requests[:3]}",
            )

    def learnable_at(self, listed_at: float) -> float:
        """Return the earliest time at which a node could learn what the platform listed at this time."""
        earliest = listed_at
        for began, ended in sorted(self.actors.platform_outages):
            if began <= earliest + LEAVING_GRACE_SECONDS and ended > earliest:
                earliest = max(earliest, ended)
        return earliest

    def check_evacuated(self, origin: simulated_origins.SimulatedOrigin) -> None:
        """Check that an origin gets no new requests some time after its site was evacuated."""
        invariant = "an evacuated site gets no new work after 5 s"
        for confirmed_at, returned_at in self.actors.evacuations[origin.site]:
            due = confirmed_at + EVACUATION_GRACE_SECONDS
            late_requests = [start_time for start_time, _ in origin.started if due < start_time < returned_at]
            self.checker.check(
                invariant,
                not late_requests,
                f"{origin.instance} evacuated at {confirmed_at:.2f}: requests at {late_requests[:3]}",
            )

    def check_retries(self) -> None:
        """Check that retries are at most a fixed share of first attempts, plus one per edge and shield."""
        invariant = "retries stay within a fifth of the traffic in any 10 s"
        requests = sorted(request for origin in self.actors.all_origins for request in origin.started)
        start_times = [start_time for start_time, _ in requests]
        retries = retry_start_times(requests)
        allowance = len(self.cluster.with_role("edge")) + len(self.cluster.with_role("shield"))
        for start_time in retries:
            window_start = start_time - RETRY_WINDOW_SECONDS
            first = bisect.bisect_left(start_times, window_start)
            total = bisect.bisect_right(start_times, start_time) - first
            count = sum(window_start <= other <= start_time for other in retries)
            limit = RETRY_SHARE * (total - count) + allowance
            self.checker.check(
                invariant, count <= limit, f"{count} retries of {total} requests at {start_time:.2f}"
            )


def retry_start_times(requests: list[tuple[float, str]]) -> list[float]:
    """Return the times of requests whose id an earlier request had, given (time, id) in order of time."""
    seen: set[str] = set()
    start_times = []
    for start_time, request_id in requests:
        if request_id in seen:
            start_times.append(start_time)
        seen.add(request_id)
    return start_times
