"""Expiry of local targets that do not renew their lease."""

import trio

from snipelead.logs import log_event
from snipelead.targets.events import TARGET_LEASE_ENDED
from snipelead.types import TargetState

__all__ = ['expire_targets']

CHECKS_PER_LEASE = 4
MS_PER_S = 1_000


async def expire_targets(local_targets, lease_ms):
    """Remove targets whose lease has expired, until cancelled.

    Parameters
    ----------
    local_targets : LocalTargets
        Registry to check.
    lease_ms : int
        Duration of a lease after its last renewal, in milliseconds.
    """
    lease_s = lease_ms / MS_PER_S
    while True:
        await trio.sleep(lease_s / CHECKS_PER_LEASE)
        expired_before = trio.current_time() - lease_s
        expired = [
            target_id
            for target_id, target in local_targets.targets.items()
            if target.renewed_at < expired_before
        ]
        for target_id in expired:
            log_event(TARGET_LEASE_ENDED, target=target_id)
            local_targets.change_state(target_id, TargetState.GONE)
