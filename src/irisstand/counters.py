"""Counters and gauges, and their Prometheus text format for scrapers."""

import collections

from irisstand import clocks

# The name of a counter or gauge, and its labels as (label name, label value) pairs, sorted by label name.
SeriesKey = tuple[str, tuple[tuple[str, str], ...]]


class LoadGauge:
    """Measures events per second over a sliding window of a few seconds."""

    def __init__(self, clock: clocks.Clock, window_seconds: float = 4.0) -> None:
        self.clock = clock
        self.window_seconds = window_seconds
        self.event_times: collections.deque[float] = collections.deque()

    def record(self) -> None:
        """Count one event at the current time."""
        self.event_times.append(self.clock.now())
        self._remove_old_events()

    def per_second(self) -> float:
        """Return the rate over the window, in events per second."""
        self._remove_old_events()
        return len(self.event_times) / self.window_seconds

    def _remove_old_events(self) -> None:
        while self.event_times and self.event_times[0] <= self.clock.now() - self.window_seconds:
            self.event_times.popleft()


class Counters:
    """Holds counters and gauges by name and labels; `add` raises a counter, `put` sets a gauge.

    >>> counters = Counters()
    >>> counters.add("frames_dropped", reason="size")
    >>> counters.add("frames_dropped", 2, reason="size")
    >>> print(counters.text().splitlines()[1])
    irisstand_frames_dropped{reason="size"} 3
    """

    def __init__(self) -> None:
        self.values: dict[SeriesKey, float] = collections.defaultdict(float)

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add an amount to the counter of this name and these labels; a new counter starts at zero."""
        self.values[_series_key(name, labels)] += amount

    def put(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge of this name and these labels to a value."""
        self.values[_series_key(name, labels)] = value

    def get(self, name: str, **labels: str) -> float:
        """Return the value of the counter or gauge with exactly these labels; zero if none was recorded."""
        return self.values.get(_series_key(name, labels), 0)

    def total(self, name: str) -> float:
        """Return the sum of all values of this name, whatever their labels."""
        return sum(value for (key, _), value in self.values.items() if key == name)

    def by_text(self) -> dict[str, float]:
        """Return all values by series, which is name and labels in text form, as in `name{label="value"}`."""
        return {_text_name(name, labels): value for (name, labels), value in sorted(self.values.items())}

    def text(self) -> str:
        """Return all counters and gauges in the Prometheus text format, version 0.0.4."""
        lines: list[str] = []
        typed: set[str] = set()
        for (name, labels), value in sorted(self.values.items()):
            if name not in typed:
                typed.add(name)
                lines.append(f"# TYPE irisstand_{name} untyped")
            lines.append(f"irisstand_{_text_name(name, labels)} {value:g}")
        return "\n".join(lines) + "\n"


def _series_key(name: str, labels: dict[str, str]) -> SeriesKey:
    return (name, tuple(sorted(labels.items())))


def _text_name(name: str, labels: tuple[tuple[str, str], ...]) -> str:
    joined = ",".join(f'{key}="{label}"' for key, label in labels)
    return f"{name}{{{joined}}}" if joined else name
