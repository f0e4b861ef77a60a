"""Identifier types and enumerations shared by all packages."""

from enum import Enum
from typing import Annotated
from typing import NewType

from msgspec import Meta

# Messages between processes have no larger integers.
MAX_INTEGER = 2**63 - 1
MAX_MILLISECONDS = 24 * 60 * 60 * 1_000
# Numbers in messages; other values are rejected when a message is decoded.
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Milliseconds = Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)]
Ratio = Annotated[float, Meta(ge=0.0, le=1e9)]

ControlId = NewType('ControlId', str)
NodeId = NewType('NodeId', str)
TargetId = NewType('TargetId', str)
ZoneName = NewType('ZoneName', str)
RegionName = NewType('RegionName', str)
ServiceName = NewType('ServiceName', str)
RouteName = NewType('RouteName', str)
SettingName = NewType('SettingName', str)
TenantName = NewType('TenantName', str)
ApiKey = NewType('ApiKey', str)
NoteId = NewType('NoteId', str)
ReleaseNumber = NewType('ReleaseNumber', Count)
Digest = NewType('Digest', str)
Incarnation = NewType('Incarnation', Count)
UNKNOWN_INCARNATION = Incarnation(0)
AttemptId = NewType('AttemptId', str)
ClaimId = NewType('ClaimId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
Term = NewType('Term', Count)
LogIndex = NewType('LogIndex', Count)
# Digest that is equal for all copies of a request.
Fingerprint = NewType('Fingerprint', bytes)
# IP address and port, separated by a colon.
Address = NewType('Address', str)


class RequestClass(Enum):
    """Class of a request; determines its share of a target's slots."""

    INTERACTIVE = 'interactive'
    ONCE = 'once'
    BATCH = 'batch'


class Ran(Enum):
    """Whether a target ran a request."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class OutcomeKind(Enum):
    """Outcome of a submitted release note."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class TargetState(Enum):
    """Life cycle state of an announced target."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    GONE = 'gone'


class Preference(Enum):
    """Optimization goal of the distribution of releases.

    CONVERGENCE minimizes the time until nodes confirm a release, BYTES the
    amount of data sent.
    """

    CONVERGENCE = 'convergence'
    BYTES = 'bytes'


class MembershipSource(Enum):
    """How a process learns the addresses of the control processes."""

    # The settings list all control processes.
    FIXED = 'fixed'
    # The settings list initial control processes, which report all others.
    LEARNED = 'learned'


class ControlRole(Enum):
    """Role of a control process in the replication of the log."""

    VOTER = 'voter'
    RELAY = 'relay'
