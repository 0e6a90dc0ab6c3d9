"""Errors of one node: its settings, its ports, its disk and its shutdown."""

from irisstand.errors import base


class SettingsError(base.IrisError):
    """Settings that cannot be used. `faults` has one line for each fault."""

    code, status = "boot-fault", 500
    remedy = "correct the named settings and start again"

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class PortTakenError(base.IrisError):
    """Another process listens on a port that this one is to use."""

    code, status, remedy = "port-taken", 500, "free the port or name another"


class DiskFullError(base.IrisError):
    """The data folder has no space left, so the node cannot vote."""

    code, status, remedy = "disk-full", 503, "free space in the data folder; the node votes again by itself"
    default_retry_after = 10.0


class TornFileError(base.IrisError):
    """A file of the data folder fails its checksum."""

    code, status, remedy = "torn-file", 500, "none needed: it was put aside and is mended from peers"


class DrainingError(base.IrisError):
    """The node is shutting down and takes no new work."""

    code, status, remedy = "draining", 503, "ask another node; this one is shutting down"
    default_retry_after = 1.0
