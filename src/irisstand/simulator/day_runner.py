"""Many simulated days on several processors, and their counts added up."""

import collections
import concurrent.futures
import time
import traceback
import typing

from irisstand.simulator import simulated_day

Say = typing.Callable[[str], None]


class Outcome(typing.NamedTuple):
    seed: int
    checked: dict
    broken: dict
    examples: dict
    results: dict
    happened: dict
    log: list
    error: str


def one_day(seed: int, seconds: float, kind: str) -> Outcome:
    try:
        done = simulated_day.simulate(seed, seconds, kind)
    except Exception:
        return Outcome(seed, {}, {}, {}, {}, {}, [], traceback.format_exc(limit=-3))
    judge = done.checker
    counts = (judge.checked, judge.broken, judge.examples, judge.results, done.fault_injector.happened)
    return Outcome(seed, *(dict(count) for count in counts), done.fault_injector.log, "")


def simulate(seeds: range, seconds: float, workers: int, log: bool, say: Say, kind: str = "busy") -> int:
    sums = [collections.Counter() for _ in range(4)]
    failed = 0
    started = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for outcome in pool.map(one_day, seeds, *([one] * len(seeds) for one in (seconds, kind))):
            for total, part in zip(
                sums, (outcome.checked, outcome.broken, outcome.results, outcome.happened), strict=True
            ):
                total.update(part)
            if log:
                for moment, what in outcome.log:
                    say(f"seed {outcome.seed} {moment:8.2f} {what}")
            if outcome.error or any(outcome.broken.values()):
                failed += 1
                say(f"seed {outcome.seed} FAILED {outcome.examples} {outcome.error}")
    checked, broken, results, happened = sums
    for rule in sorted(checked):
        say(f"{checked[rule]:9d} checked {broken[rule]:5d} broken  {rule}")
    say("results: " + ", ".join(f"{name} {count}" for name, count in sorted(results.items())))
    say("troubles: " + ", ".join(f"{name} {count}" for name, count in sorted(happened.items())))
    say(f"{failed} of {len(seeds)} days failed; {time.monotonic() - started:.0f} s of real time")
    return 1 if failed else 0
