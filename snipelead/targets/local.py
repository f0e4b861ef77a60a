"""The targets beside a node, as they announced themselves."""

import time

from msgspec.structs import replace
import trio

from snipelead.messages import TargetEntry
from snipelead.types import Incarnation
from snipelead.types import TargetState

__all__ = ['LocalTarget', 'LocalTargets']


class LocalTarget:
    """One announced target.

    Attributes
    ----------
    target_address : Address
        Where the target itself listens, on loopback.
    entry : TargetEntry
        What other processes are told.
    renewed_at : float
        Time of the last announcement or renewal, in seconds of trio's clock.
    """

    def __init__(self, target_address, entry, renewed_at):
        self.target_address = target_address
        self.entry = entry
        self.renewed_at = renewed_at


class LocalTargets:
    """Registry of the targets beside one node.

    Parameters
    ----------
    node_id, zone, address : NodeId, ZoneName, Address
        Identity of the node, put into each entry.
    """

    def __init__(self, node_id, zone, address):
        self.node_id = node_id
        self.zone = zone
        self.address = address
        self.incarnation = Incarnation(time.time_ns())
        self.sequence = 0
        self.targets = {}
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until an entry changes."""
        await self._changed.wait()

    def entries(self):
        """Return the entries of all targets that are not gone."""
        return tuple(target.entry for target in self.targets.values())

    def restart(self, incarnation):
        """Take a later incarnation and announce all targets anew."""
        self.incarnation = incarnation
        for target in self.targets.values():
            target.entry = replace(target.entry, incarnation=incarnation)
        self._notify()

    def announce(
        self, target_id, service, target_address, slots, connections, state
    ):
        """Add a target or replace what is known of it."""
        self.sequence += 1
        entry = TargetEntry(
            target_id,
            self.node_id,
            self.zone,
            service,
            self.address,
            self.incarnation,
            self.sequence,
            state,
            slots,
            connections,
        )
        self.targets[target_id] = LocalTarget(
            target_address, entry, trio.current_time()
        )
        self._notify()

    def renew(self, target_id):
        """Prolong a target's lease; returns False when it is not known."""
        target = self.targets.get(target_id)
        if target is None:
            return False
        target.renewed_at = trio.current_time()
        return True

    def change_state(self, target_id, state):
        """Move a target to another state; GONE removes it."""
        target = self.targets.get(target_id)
        if target is None:
            return
        if state is TargetState.GONE:
            del self.targets[target_id]
            self._notify()
            return
        self.announce(
            target_id,
            target.entry.service,
            target.target_address,
            target.entry.slots,
            target.entry.connections,
            state,
        )

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()
