"""Typed errors: each kind has a code, an HTTP status and a message that names the remedy.

Callers use the names of this module; the submodules group the kinds by concern. All submodules are imported
here, so that each kind is registered before an error of a peer is rebuilt.
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
NoShieldError = requests.NoShieldError
SiteEvacuatedError = requests.SiteEvacuatedError
ResponseIntegrityError = requests.ResponseIntegrityError
WrongServiceError = requests.WrongServiceError
KeyClaimedError = requests.KeyClaimedError
KeyReusedError = requests.KeyReusedError
KeyNotClaimedError = requests.KeyNotClaimedError
