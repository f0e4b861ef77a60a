"""Reports of a node on rollouts in progress, and the grants it receives."""

import trio

from snipelead.controls.failover import call_with_failover
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.messages import RolloutReport

__all__ = ['RolloutReporter']

REPORT_INTERVAL_S = 0.4
# Shorter than the lease of a grant, so that another control can be asked.
CALL_TIMEOUT_S = 1.0


class RolloutReporter:
    """Asks the controls for grants while a rollout is in progress.

    Nothing is sent otherwise.

    Parameters
    ----------
    node_id : NodeId
        Id of the node.
    versions : VersionSelector
        Counts requests and receives grants.
    links : ControlLinks
        Controls.
    local_targets : LocalTargets
        Gives the incarnation of the node.
    """

    def __init__(self, node_id, versions, links, local_targets):
        self.node_id = node_id
        self.versions = versions
        self.links = links
        self.local_targets = local_targets
        self._changed = trio.Event()

    async def run(self):
        """Report until cancelled."""
        self.versions.on_change = self._wake
        while True:
            changed = self._changed
            if self.versions.has_active_rollout:
                await self._report()
                with trio.move_on_after(REPORT_INTERVAL_S):
                    await changed.wait()
            else:
                await changed.wait()

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _report(self):
        # Leases count from here, however long the reply takes.
        asked_at = trio.current_time()
        report = RolloutReport(
            self.node_id,
            self.local_targets.incarnation,
            self.versions.make_reports(),
        )
        try:
            reply = await call_with_failover(
                self.links, report, CALL_TIMEOUT_S
            )
        except InvariantError:
            raise
        except SnipeleadError:
            return
        self.versions.apply_grants(reply.grants, asked_at)
