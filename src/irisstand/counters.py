"""Counters in the text form that scrapers expect."""

import collections

from irisstand import clocks


class LoadGauge:
    """Events a second over the last few seconds."""

    def __init__(self, clock: clocks.Clock, window: float = 4.0) -> None:
        self.clock, self.window = clock, window
        self.moments: collections.deque[float] = collections.deque()

    def record(self) -> None:
        self.moments.append(self.clock.now())
        self.trim()

    def trim(self) -> None:
        while self.moments and self.moments[0] <= self.clock.now() - self.window:
            self.moments.popleft()

    def per_second(self) -> float:
        self.trim()
        return len(self.moments) / self.window


class Counters:
    """Names with a label or none; only ever raised, apart from gauges set whole.

    >>> counters = Counters()
    >>> counters.add("frames_dropped", reason="size")
    >>> counters.add("frames_dropped", 2, reason="size")
    >>> print(counters.text().splitlines()[1])
    irisstand_frames_dropped{reason="size"} 3
    """

    def __init__(self) -> None:
        self.values: dict[tuple, float] = collections.defaultdict(float)

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        self.values[(name, tuple(sorted(labels.items())))] += amount

    def put(self, name: str, value: float, **labels: str) -> None:
        self.values[(name, tuple(sorted(labels.items())))] = value

    def get(self, name: str, **labels: str) -> float:
        return self.values.get((name, tuple(sorted(labels.items()))), 0)

    def total(self, name: str) -> float:
        return sum(value for (key, _), value in self.values.items() if key == name)

    def text(self) -> str:
        lines: list[str] = []
        named: set[str] = set()
        for (name, labels), value in sorted(self.values.items()):
            if name not in named:
                named.add(name)
                lines.append(f"# TYPE irisstand_{name} untyped")
            inside = ",".join(f'{key}="{label}"' for key, label in labels)
            lines.append(f"irisstand_{name}{'{' + inside + '}' if inside else ''} {value:g}")
        return "\n".join(lines) + "\n"
