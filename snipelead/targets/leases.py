"""Expiry of targets that no longer renew their announcement."""

import trio

from snipelead.logs import log_event
from snipelead.targets.events import TARGET_EXPIRED
from snipelead.types import TargetState

__all__ = ['expire_targets', 'run_expiry']

CHECKS_PER_LEASE = 10


def expire_targets(local, lease_s):
    """Remove the targets that were not renewed within the lease.

    Parameters
    ----------
    local : LocalTargets
        Registry of the targets beside the node.
    lease_s : float
        Length of the lease in seconds.
    """
    oldest = trio.current_time() - lease_s
    for target_id, target in list(local.targets.items()):
        if target.renewed_at < oldest:
            local.change_state(target_id, TargetState.GONE)
            log_event(TARGET_EXPIRED, target=target_id)


async def run_expiry(local, lease_s):
    """Keep removing expired targets until cancelled."""
    while True:
        await trio.sleep(lease_s / CHECKS_PER_LEASE)
        expire_targets(local, lease_s)
