"""Requests and replies of the RPC between the processes of the system.

``REPLY_TYPES`` maps each request type to its reply type. The name of the
request type is the name of the RPC method. Messages that only one package
uses, such as those between voters, are defined in that package and added with
:func:`register_reply`.
"""

from snipelead.messages.authentication import LeaseReply
from snipelead.messages.authentication import LeaseRequest
from snipelead.messages.claims import ClaimReply
from snipelead.messages.claims import ClaimRequest
from snipelead.messages.claims import SettleReply
from snipelead.messages.claims import SettleRequest
from snipelead.messages.fleet import FleetReply
from snipelead.messages.fleet import FleetRequest
from snipelead.messages.fleet import NodeStatus
from snipelead.messages.outcomes import CertifyReply
from snipelead.messages.outcomes import CertifyRequest
from snipelead.messages.outcomes import OutcomesReply
from snipelead.messages.outcomes import OutcomesRequest
from snipelead.messages.outcomes import ReplaceRequest
from snipelead.messages.outcomes import SubmitReply
from snipelead.messages.outcomes import SubmitRequest
from snipelead.messages.quarantine import CrashRecord
from snipelead.messages.quarantine import CrashUpdate
from snipelead.messages.quarantine import LiftReply
from snipelead.messages.quarantine import LiftRequest
from snipelead.messages.quarantine import TargetCrash
from snipelead.messages.quarantine import WatchedReply
from snipelead.messages.quarantine import WatchedRequest
from snipelead.messages.quotas import ForwardedQuotaRequest
from snipelead.messages.quotas import QuotaDemand
from snipelead.messages.quotas import QuotaGrant
from snipelead.messages.quotas import QuotaReply
from snipelead.messages.quotas import QuotaRequest
from snipelead.messages.registry import register_reply
from snipelead.messages.registry import REPLY_TYPES
from snipelead.messages.rollouts import Grant
from snipelead.messages.rollouts import OrderReply
from snipelead.messages.rollouts import Rollout
from snipelead.messages.rollouts import RolloutPhase
from snipelead.messages.rollouts import RolloutReply
from snipelead.messages.rollouts import RolloutReport
from snipelead.messages.rollouts import RolloutUpdate
from snipelead.messages.rollouts import RouteCounts
from snipelead.messages.rollouts import RouteProgress
from snipelead.messages.rollouts import ServiceReport
from snipelead.messages.sync import ControlEndpoint
from snipelead.messages.sync import digest_controls
from snipelead.messages.sync import FreshnessReply
from snipelead.messages.sync import FreshnessRequest
from snipelead.messages.sync import Registration
from snipelead.messages.sync import Snapshot
from snipelead.messages.sync import SyncReply
from snipelead.messages.sync import SyncRequest
from snipelead.messages.targets import DirectoryUpdate
from snipelead.messages.targets import ExchangeReply
from snipelead.messages.targets import ExchangeRequest
from snipelead.messages.targets import TargetEntry

__all__ = [
    'CertifyReply',
    'CertifyRequest',
    'ClaimReply',
    'ClaimRequest',
    'ControlEndpoint',
    'CrashRecord',
    'CrashUpdate',
    'DirectoryUpdate',
    'ExchangeReply',
    'ExchangeRequest',
    'FleetReply',
    'FleetRequest',
    'ForwardedQuotaRequest',
    'FreshnessReply',
    'FreshnessRequest',
    'Grant',
    'LeaseReply',
    'LeaseRequest',
    'LiftReply',
    'LiftRequest',
    'NodeStatus',
    'OrderReply',
    'OutcomesReply',
    'OutcomesRequest',
    'QuotaDemand',
    'QuotaGrant',
    'QuotaReply',
    'QuotaRequest',
    'REPLY_TYPES',
    'Registration',
    'ReplaceRequest',
    'Rollout',
    'RolloutPhase',
    'RolloutReply',
    'RolloutReport',
    'RolloutUpdate',
    'RouteCounts',
    'RouteProgress',
    'ServiceReport',
    'SettleReply',
    'SettleRequest',
    'Snapshot',
    'SubmitReply',
    'SubmitRequest',
    'SyncReply',
    'SyncRequest',
    'TargetCrash',
    'TargetEntry',
    'WatchedReply',
    'WatchedRequest',
    'digest_controls',
    'register_reply',
]
