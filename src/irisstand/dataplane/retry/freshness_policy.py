"""Whether an object may be given out: its time to live, and the purges that are known on its way."""

from irisstand import clocks, errors
from irisstand.dataplane.cache import objects
from irisstand.dataplane.retry import actions, events, policy
from irisstand.dataplane.routing import configuration_view
from irisstand.state import versions

# How far past its time to live a response may be that was fetched for this very request; docs promise 2 s.
EXPIRED_LIMIT_SECONDS = 1.0
# With less time left than this, an object is not fetched again.
MINIMUM_FETCH_SECONDS = 0.05


def is_usable(
    cached: objects.CachedObject,
    path: str,
    view: configuration_view.ConfigurationView,
    minimum_version: versions.Version,
    now: float,
) -> bool:
    """Whether a cached object has not expired, and was fetched after the newest purge that is known."""
    purged = max(minimum_version, view.newest_purge(path, cached.tags))
    return cached.age_now(now) < cached.ttl and cached.applied >= purged


def is_servable(
    fetched: objects.CachedObject, path: str, view: configuration_view.ConfigurationView, now: float
) -> bool:
    """Whether a fetched object may be given out now, as purges and time go on while it is fetched."""
    has_expired = fetched.ttl > 0 and fetched.age_now(now) > fetched.ttl + EXPIRED_LIMIT_SECONDS
    return fetched.applied >= view.newest_purge(path, fetched.tags) and not has_expired


class FreshnessPolicy(policy.DeadlinePolicy):
    """Policy of a read's response: given out, fetched again or rejected; one deadline over all fetches."""

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
        """Take note of the end of a fetch and return what to do next."""
        match event:
            case events.ResponseReceived():
                return self.on_response(event.response)
            case events.AttemptFailed():
                return self.on_attempt_failed(event.error)

    def on_response(
        self, fetched: objects.CachedObject
    ) -> actions.Respond[objects.CachedObject] | actions.FetchAgain | actions.Reject:
        """Respond with an object that is fit; fetch any other again."""
        now = self.clock.now()
        if is_servable(fetched, self.path, self.view, now):
            return actions.Respond(fetched)
        error = errors.DeadlineExceededError("no answer was still good by the time that it came")
        return self.fetch_again(now, self.view.newest_purge(self.path, fetched.tags), error)

    def on_attempt_failed(self, error: errors.IrisError) -> actions.FetchAgain | actions.Reject:
        """Fetch again only what a shared fetch failed to bring in time."""
        # A shared fetch ends at the deadline of the request that began it; one that joined later has more.
        if not isinstance(error, errors.DeadlineExceededError | errors.UnansweredError):
            return actions.Reject(error)
        return self.fetch_again(self.clock.now(), versions.NONE, error)

    def fetch_again(
        self, now: float, minimum_version: versions.Version, error: errors.IrisError
    ) -> actions.FetchAgain | actions.Reject:
        """Fetch the object again if there is time, else reject with `error`."""
        if now > self.deadline - MINIMUM_FETCH_SECONDS:
            return actions.Reject(error)
        return actions.FetchAgain(minimum_version)
