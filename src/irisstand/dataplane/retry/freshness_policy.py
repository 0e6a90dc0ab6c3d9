"""Policy that keeps expired and purged objects from being served."""

from irisstand import clocks, errors
from irisstand.dataplane.cache import objects
from irisstand.dataplane.retry import actions, events, policy
from irisstand.dataplane.routing import configuration_view
from irisstand.state import versions

# A response fetched for this very request may be served for this long after its TTL ran out: its delivery
# takes time. The documentation promises clients 2 s.
EXPIRED_LIMIT_SECONDS = 1.0
# An object is not fetched again with less time than this until the request's deadline.
MINIMUM_FETCH_SECONDS = 0.05


def is_usable(
    cached: objects.CachedObject,
    path: str,
    view: configuration_view.ConfigurationView,
    minimum_version: versions.Version,
    now: float,
) -> bool:
    """Return whether a cached object is within its TTL and newer than every known purge of it.

    Args:
        cached: The cached object.
        path: The path by which the object can be purged.
        view: Finds the purges of a path and of tags.
        minimum_version: A version of the ledger before which the object must not have been fetched.
        now: The time in seconds.
    """
    purged = max(minimum_version, view.newest_purge(path, cached.tags))
    return cached.age_now(now) < cached.ttl and cached.applied >= purged


def is_servable(
    fetched: objects.CachedObject, path: str, view: configuration_view.ConfigurationView, now: float
) -> bool:
    """Return whether an object that was just fetched may be served: it may expire or be purged on its way.

    Args:
        fetched: The object that was fetched.
        path: The path by which the object can be purged.
        view: Finds the purges of a path and of tags.
        now: The time in seconds.
    """
    has_expired = fetched.ttl > 0 and fetched.age_now(now) > fetched.ttl + EXPIRED_LIMIT_SECONDS
    return fetched.applied >= view.newest_purge(path, fetched.tags) and not has_expired


class FreshnessPolicy(policy.DeadlinePolicy):
    """Decides whether a fetched object is served or fetched again, under one deadline over all fetches.

    Args:
        clock: Gives the time in seconds.
        view: Finds the purges of a path and of tags.
        allowed: What the configuration says about the request, with its deadline.
        path: The path by which the object can be purged.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        view: configuration_view.ConfigurationView,
        allowed: configuration_view.AllowedRequest,
        path: str,
    ) -> None:
        super().__init__(clock, clock.now() + allowed.deadline)
        self.view = view
        self.path = path

    def decide(
        self, event: events.ResponseReceived[objects.CachedObject] | events.AttemptFailed
    ) -> actions.Respond[objects.CachedObject] | actions.FetchAgain | actions.Reject:
        """Decide by the result of a fetch whether the object is served, fetched again or rejected."""
        match event:
            case events.ResponseReceived():
                return self.on_response(event.response)
            case events.AttemptFailed():
                return self.on_attempt_failed(event.error)

    def on_response(
        self, fetched: objects.CachedObject
    ) -> actions.Respond[objects.CachedObject] | actions.FetchAgain | actions.Reject:
        """Respond with an object that may be served; fetch an expired or purged one again."""
        now = self.clock.now()
        if is_servable(fetched, self.path, self.view, now):
            return actions.Respond(fetched)
        error = errors.DeadlineExceededError(
            "each response that was fetched had expired or been purged when it arrived"
        )
        return self.fetch_again(now, self.view.newest_purge(self.path, fetched.tags), error)

    def on_attempt_failed(self, error: errors.IrisError) -> actions.FetchAgain | actions.Reject:
        """Fetch the object again after a timeout or a missing reply; reject the request on other errors."""
        # A fetch shared by several requests ends at the deadline of the request that began it. A request that
        # joined later has time left to fetch the object again.
        if not isinstance(error, errors.DeadlineExceededError | errors.UnansweredError):
            return actions.Reject(error)
        return self.fetch_again(self.clock.now(), versions.NONE, error)

    def fetch_again(
        self, now: float, minimum_version: versions.Version, error: errors.IrisError
    ) -> actions.FetchAgain | actions.Reject:
        """Fetch the object again, or reject the request with `error` if its deadline is too close."""
        if now > self.deadline - MINIMUM_FETCH_SECONDS:
            return actions.Reject(error)
        return actions.FetchAgain(minimum_version)
