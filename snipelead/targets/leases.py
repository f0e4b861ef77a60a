"""Expiry of targets that stopped renewing their announcement."""

import trio

from snipelead.logs import log_event
from snipelead.targets.events import TARGET_LEASE_ENDED
from snipelead.types import TargetState

__all__ = ['expire_targets']

CHECKS_PER_LEASE = 4
MS_PER_S = 1_000


async def expire_targets(local, lease_ms):
    """Remove targets that did not renew within their lease.

    Parameters
    ----------
    local : LocalTargets
        Registry to watch.
    lease_ms : int
        Lease in milliseconds.
    """
    lease_s = lease_ms / MS_PER_S
    while True:
        await trio.sleep(lease_s / CHECKS_PER_LEASE)
        oldest_allowed = trio.current_time() - lease_s
        expired = [
            target_id
            for target_id, target in local.targets.items()
            if target.renewed_at < oldest_allowed
        ]
        for target_id in expired:
            log_event(TARGET_LEASE_ENDED, target=target_id)
            local.change_state(target_id, TargetState.GONE)
