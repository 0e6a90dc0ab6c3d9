"""Errors of a single node: its settings, its ports, its disk and its graceful shutdown."""

from irisstand.errors import base


class SettingsError(base.IrisError):
    """The settings of a node are invalid, so it does not start.

    Attributes:
        faults: One line of text for each invalid setting.
    """

    code, status = "boot-fault", 500
    remedy = "correct the named settings and start again"

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class PortTakenError(base.IrisError):
    """A port that this process is to listen on is already used by another process."""

    code, status, remedy = "port-taken", 500, "free the port or name another"


class DiskFullError(base.IrisError):
    """The data folder has no space left, so the node cannot store votes and takes no part in ballots."""

    code, status, remedy = "disk-full", 503, "free space in the data folder; the node votes again by itself"
    default_retry_after = 10.0


class TornFileError(base.IrisError):
    """The content of a file in the data folder does not match its checksum."""

    code, status, remedy = "torn-file", 500, "none needed: it was put aside and is mended from peers"


class DrainingError(base.IrisError):
    """The node is draining for a graceful shutdown, and accepts no new requests."""

    code, status, remedy = "draining", 503, "ask another node; this one is shutting down"
    default_retry_after = 1.0
