"""Typed errors: each class has a stable code, an HTTP status and a remedy for whoever reads the message.

Other packages use the names of this module; its submodules group the error classes by concern. All of them
are imported here, so that every class is in `REGISTRY` before an error that a peer sent is rebuilt by code.
"""

from irisstand.errors import base, calls, changes, node, requests

REGISTRY = base.REGISTRY
WireError = base.WireError
IrisError = base.IrisError
from_wire = base.from_wire

MalformedFrameError = calls.MalformedFrameError
NotSentError = calls.NotSentError
IncarnationEndedError = calls.IncarnationEndedError
UnansweredError = calls.UnansweredError
UnknownNameError = calls.UnknownNameError
BadRequestError = calls.BadRequestError

InsufficientCapacityError = changes.InsufficientCapacityError
InvalidChangeError = changes.InvalidChangeError
StaleVersionError = changes.StaleVersionError
NoQuorumError = changes.NoQuorumError
ChangeOutcomeUnknownError = changes.ChangeOutcomeUnknownError
TableFullError = changes.TableFullError
NotBootstrappedError = changes.NotBootstrappedError

SettingsError = node.SettingsError
PortTakenError = node.PortTakenError
DiskFullError = node.DiskFullError
TornFileError = node.TornFileError
DrainingError = node.DrainingError

OutcomeUnknownError = requests.OutcomeUnknownError
StaleConfigurationError = requests.StaleConfigurationError
UnknownPathError = requests.UnknownPathError
MethodNotAllowedError = requests.MethodNotAllowedError
DeadlineExceededError = requests.DeadlineExceededError
LimitExceededError = requests.LimitExceededError
SlowStartError = requests.SlowStartError
NoQuotaShareError = requests.NoQuotaShareError
NoOriginError = requests.NoOriginError
OriginFailedError = requests.OriginFailedError
BodyClosedError = requests.BodyClosedError
NoShieldError = requests.NoShieldError
SiteEvacuatedError = requests.SiteEvacuatedError
ResponseIntegrityError = requests.ResponseIntegrityError
WrongServiceError = requests.WrongServiceError
KeyClaimedError = requests.KeyClaimedError
KeyReusedError = requests.KeyReusedError
KeyNotClaimedError = requests.KeyNotClaimedError
