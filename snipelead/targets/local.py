"""Registry of the targets that are local to a node."""

import time

from msgspec.structs import replace
import trio

from snipelead.messages import TargetEntry
from snipelead.types import Incarnation
from snipelead.types import TargetState
from snipelead.types import UNKNOWN_INCARNATION

__all__ = ['LocalTarget', 'LocalTargets']


class LocalTarget:
    """A registered target.

    Attributes
    ----------
    target_address : Address
        Listening address of the target itself, usually on loopback.
    entry : TargetEntry
        Description of the target that other processes receive.
    incarnation : Incarnation
        Incarnation of the target. If it does not tell, a target is in a new
        one when it is registered again after it was removed.
    renewed_at : float
        Time of the last announcement or renewal on trio's clock, in seconds.
    """

    def __init__(self, target_address, entry, incarnation, renewed_at):
        self.target_address = target_address
        self.entry = entry
        self.incarnation = incarnation
        self.renewed_at = renewed_at


class LocalTargets:
    """Registry of the local targets of one node.

    Parameters
    ----------
    node_id, zone, address : NodeId, ZoneName, Address
        Identity of the node, included in each entry.

    Attributes
    ----------
    incarnation : Incarnation
        Start of this node process, in nanoseconds since the epoch, unless a
        later one had to be chosen.
    sequence : int
        Number of announcements so far; orders the entries of an incarnation
        of the node.
    targets : dict of TargetId to LocalTarget
        Registered targets.
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
        """Wait until a target is added, removed or changed."""
        await self._changed.wait()

    def entries(self):
        """Return the entries of all registered targets."""
        return tuple(target.entry for target in self.targets.values())

    def set_incarnation(self, incarnation):
        """Set a later incarnation of the node and announce all targets."""
        self.incarnation = incarnation
        for target in self.targets.values():
            target.entry = replace(target.entry, incarnation=incarnation)
        self._notify()

    def announce(
        self,
        target_id,
        service,
        target_address,
        slots,
        connections,
        state,
        target_incarnation=UNKNOWN_INCARNATION,
        version='',
    ):
        """Register a target or replace its entry.

        Parameters
        ----------
        target_id : TargetId
            Unique id.
        service : ServiceName
            Service that the target belongs to.
        target_address : Address
            Listening address of the target itself.
        slots, connections : int
            Maximum numbers of concurrent requests and of connections.
        state : TargetState
            State of the target.
        target_incarnation : Incarnation
            Start time of the target, see
            :class:`~snipelead.messages.TargetEntry`.
        version : str
            Version of the target's software; '' if not known.
        """
        self.sequence += 1
        known = self.targets.get(target_id)
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
            known.entry.relative_service_time if known else 0.0,
            target_incarnation,
            version,
        )
        incarnation = target_incarnation or (
            known.incarnation
            if known
            else Incarnation(self.incarnation + self.sequence)
        )
        self.targets[target_id] = LocalTarget(
            target_address, entry, incarnation, trio.current_time()
        )
        self._notify()

    def set_relative_service_time(self, target_id, value):
        """Tell the other nodes how slow a target is; ignored if it is gone.

        Parameters
        ----------
        target_id : TargetId
            Target.
        value : float
            See :class:`~snipelead.messages.TargetEntry`.
        """
        target = self.targets.get(target_id)
        if target is None:
            return
        self.sequence += 1
        target.entry = replace(
            target.entry, sequence=self.sequence, relative_service_time=value
        )
        self._notify()

    def renew(self, target_id):
        """Renew the lease of a target.

        Returns
        -------
        bool
            False if the target is not registered.
        """
        target = self.targets.get(target_id)
        if target is None:
            return False
        target.renewed_at = trio.current_time()
        return True

    def change_state(self, target_id, state):
        """Set the state of a target; GONE removes it from the registry."""
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
            target.entry.target_incarnation,
        )

    def mark_leaving(self, target_id, target_incarnation):
        """Set the state of a target that states that it is leaving.

        Parameters
        ----------
        target_id : TargetId
            Target; ignored if it is not serving.
        target_incarnation : Incarnation
            Incarnation of the target; ignored if another one is registered.
        """
        target = self.targets.get(target_id)
        if (
            target is not None
            and target.entry.state is TargetState.SERVING
            and target.entry.target_incarnation == target_incarnation
        ):
            self.change_state(target_id, TargetState.LEAVING)

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()
