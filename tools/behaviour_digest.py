"""Prints digests of everything that simulated nodes send and write during one simulated day.

    python tools/behaviour_digest.py --kind busy --seed 201 --seconds 8 [--samples FILE]

Equal digests mean equal behaviour: a change that only renames or moves code leaves the digests as they are.
This needs PYTHONHASHSEED=0 in the environment. `--samples` writes a few recorded frames of each kind of
message, which the tests of the wire format read.
"""

import collections
import collections.abc
import hashlib
import json
import pathlib
import typing

import click
import ormsgpack

from irisstand.simulator import day_kinds, memory_disk, memory_network, simulated_day

# Largest number of samples that are kept of each kind of message, and largest size of a sample.
SAMPLES_PER_LABEL = 4
SAMPLE_BYTES_LIMIT = 4096
SUM_MODULUS = 2**64
# This kind is not printed: how many of its frames are sent depends on the order in which tasks are cancelled.
UNSTABLE_LABEL = "withdraw"


class Recorder:
    """Counts the frames, datagrams and files of simulated processes, and adds up their hashes.

    Attributes:
        sums: Sum of the hashes of all payloads by label, modulo `SUM_MODULUS`.
        counts: Number of payloads by label.
        samples: Hexadecimal sample payloads by label.
        request_kinds: Kind of each request by the id of its stream and its number on that stream.
    """

    def __init__(self) -> None:
        self.sums: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.samples: dict[str, list[str]] = collections.defaultdict(list)
        self.request_kinds: dict[tuple[int, int], str] = {}

    def add(self, label: str, name: str, payload: bytes) -> None:
        """Count a payload under a label, and add its hash to the sum of that label."""
        self.counts[label] += 1
        digest = hashlib.sha256(f"{label} {name}\n".encode() + payload).digest()
        # A sum does not depend on order: tasks that are cancelled at the same time may send in any order.
        self.sums[label] = (self.sums[label] + int.from_bytes(digest[:8])) % SUM_MODULUS

    def add_frame(self, stream: typing.Any, payload: bytes) -> None:
        """Count a frame under its kind; the label of a reply also has the kind of its request."""
        _, kind, number, body, *_ = ormsgpack.unpackb(payload)
        label = kind
        if kind == "ask":
            label = f"ask {body[0]}"
            self.request_kinds[(id(stream), number)] = body[0]
        elif kind in ("result", "fault"):
            label = f"{kind} {self.request_kinds.get((id(stream.peer), number), '')}"
        self.add(label, stream.host, payload)
        self.keep_sample(label, payload)

    def keep_sample(self, label: str, payload: bytes) -> None:
        """Keep a payload as a sample of its label, unless it is too large or enough samples are kept."""
        samples_of_label = self.samples[label]
        if (
            len(samples_of_label) < SAMPLES_PER_LABEL
            and len(payload) <= SAMPLE_BYTES_LIMIT
            and payload.hex() not in samples_of_label
        ):
            samples_of_label.append(payload.hex())


def install_recorder(recorder: Recorder) -> None:
    """Make the simulator's network and disk record each payload before they send or write it."""
    write, send = memory_network.MemoryStream.write, memory_network.MemoryPort.send
    write_files = memory_disk.MemoryDisk.write

    def recorded_write(self: memory_network.MemoryStream, payload: bytes) -> None:
        recorder.add_frame(self, payload)
        write(self, payload)

    def recorded_send(self: memory_network.MemoryPort, payload: bytes, address: tuple[str, int]) -> None:
        recorder.add("datagram", self.address[0], payload)
        recorder.keep_sample("datagram", payload)
        send(self, payload, address)

    async def recorded_write_files(
        self: memory_disk.MemoryDisk, files: collections.abc.Sequence[tuple[str, bytes]]
    ) -> None:
        for name, content in files:
            recorder.add("file", name, content)
        await write_files(self, files)

    memory_network.MemoryStream.write = recorded_write
    memory_network.MemoryPort.send = recorded_send
    memory_disk.MemoryDisk.write = recorded_write_files


@click.command()
@click.option("--kind", type=click.Choice(sorted(day_kinds.KINDS)), default="busy", show_default=True)
@click.option("--seed", type=int, default=201, show_default=True)
@click.option(
    "--seconds", type=float, default=8.0, show_default=True, help="Length of the day in virtual seconds."
)
@click.option(
    "--samples", type=click.Path(path_type=pathlib.Path), help="File that sample frames are written to."
)
def main(kind: str, seed: int, seconds: float, samples: pathlib.Path | None) -> None:
    """Play one simulated day and print a digest of each kind of message and of the files."""
    recorder = Recorder()
    install_recorder(recorder)
    played = simulated_day.simulate(seed, seconds, kind)
    violations = sum(played.checker.broken.values())
    for label, count in sorted(recorder.counts.items()):
        if label == UNSTABLE_LABEL:
            continue
        click.echo(f"{recorder.sums[label]:016x} {count:7d} {label}")
    click.echo(f"{kind} {seed} {seconds:g}: {violations} rules broken")
    if samples is not None:
        samples.write_text(json.dumps(dict(sorted(recorder.samples.items())), indent=1) + "\n")


if __name__ == "__main__":
    main()
