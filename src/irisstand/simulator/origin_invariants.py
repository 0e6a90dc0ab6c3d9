"""What is judged at the origins' door: ceilings, cold and leaving origins, evacuations, second tries."""

import bisect
import typing

from irisstand.balancing import slow_start

GRACE = 2.0
EVACUATED_GRACE = 5.0


class OriginInvariants:
    """Looks at the origins' records when the day is over; what the network believes is not asked."""

    def __init__(self, world: typing.Any, ceilings: dict[str, tuple[int, int]]) -> None:
        self.cluster, self.actors, self.checker = world, world.actors, world.actors.checker
        self.ceilings = ceilings

    def close(self) -> None:
        for service, ceiling in self.ceilings.items():
            origins = [origin for origin in self.actors.all_origins if origin.service == service]
            self.check_rate(service, origins, ceiling[0])
            self.check_inflight(service, origins, ceiling[1])
            for origin in origins:
                self.check_cold(origin, ceiling[0] / max(1, self.actors.counts[service]))
                self.check_leaving(origin)
                self.check_evacuated(origin)
        self.check_second_tries()

    def check_rate(self, service: str, origins: list, limit: int) -> None:
        moments = sorted(moment for origin in origins for moment, _ in origin.started)
        for place, moment in enumerate(moments):
            count = place + 1 - bisect.bisect_right(moments, moment - 1.0)
            rule = "no service gets more requests in any one second than its ceiling"
            self.checker.check(rule, count <= limit, f"{service}: {count} of {limit} at {moment:.3f}")

    def check_inflight(self, service: str, origins: list, limit: int) -> None:
        events = [(start, 1) for origin in origins for start, _ in origin.spans]
        events += [(end, -1) for origin in origins for _, end in origin.spans]
        count = 0
        # Ends before starts of the same moment.
        for moment, step in sorted(events):
            count += step
            if step > 0:
                rule = "no service has more under way than its ceiling"
                self.checker.check(rule, count <= limit, f"{service}: {count} of {limit} at {moment:.3f}")

    def check_cold(self, origin: typing.Any, even: float) -> None:
        """In any one second: its warmth's part of an even share, and one more for each shield."""
        moments = [moment for moment, _ in origin.started]
        for began, lasts in origin.cold:
            first = bisect.bisect_left(moments, began)
            for place in range(first, bisect.bisect_left(moments, began + lasts)):
                moment = moments[place]
                count = place + 1 - bisect.bisect_right(moments, max(began, moment - 1.0))
                limit = even * slow_start.warm_fraction(moment - began, lasts) + self.cluster.shape.shields
                rule = "a cold origin gets no more than its warmth allows"
                example = f"{origin.instance}: {count} over {limit:.1f} at {moment:.3f}"
                self.checker.check(rule, count <= limit, f"{example}, cold since {began:.3f}")

    def check_leaving(self, origin: typing.Any) -> None:
        for said_at, until in origin.leaves:
            due = self.heard_by(said_at) + GRACE
            late = [moment for moment, _ in origin.started if due < moment < until]
            rule = "a leaving origin gets no new work 2 s after the platform says so"
            self.checker.check(rule, not late, f"{origin.instance} said {said_at:.2f}: work at {late[:3]}")

    def heard_by(self, said_at: float) -> float:
        """When somebody could first have asked the platform after it said so."""
        moment = said_at
        for began, ended in sorted(self.actors.platform_outages):
            if began <= moment + GRACE and ended > moment:
                moment = max(moment, ended)
        return moment

    def check_evacuated(self, origin: typing.Any) -> None:
        for confirmed_at, returned_at in self.actors.evacuations[origin.site]:
            due = confirmed_at + EVACUATED_GRACE
            late = [moment for moment, _ in origin.started if due < moment < returned_at]
            rule = "an evacuated site gets no new work after 5 s"
            self.checker.check(rule, not late, f"{origin.instance} since {confirmed_at:.2f}: {late[:3]}")

    def check_second_tries(self) -> None:
        """In any ten seconds: a fifth of the traffic at the origins, plus one for each node."""
        first, second, seen = [], [], set()
        for origin in self.actors.all_origins:
            first += origin.started
        for moment, request_id in sorted(first):
            if request_id in seen:
                second.append(moment)
            seen.add(request_id)
        moments = sorted(moment for moment, _ in first)
        allowance = len(self.cluster.with_role("edge")) + len(self.cluster.with_role("shield"))
        for moment in second:
            low, high = bisect.bisect_left(moments, moment - 10), bisect.bisect_right(moments, moment)
            tries = sum(moment - 10 <= other <= moment for other in second)
            limit = 0.2 * (high - low - tries) + allowance
            rule = "second tries stay within a fifth of the traffic in any 10 s"
            self.checker.check(rule, tries <= limit, f"{tries} of {high - low} at {moment:.2f}")
