"""Target directory of a control, merged from all controls."""

import trio

from snipelead.controls.entries import entry_precedence
from snipelead.controls.entries import make_tombstone
from snipelead.controls.entries import VersionedEntries
from snipelead.types import TargetState

__all__ = ['ControlDirectory']


class ControlDirectory:
    """Targets that register here and with the other controls.

    Each control is a source of entries. For each target the entry that is
    highest by :func:`~snipelead.controls.entries.entry_precedence` wins.
    Entries from an unreachable control are used only for targets that no
    other control reports.

    Parameters
    ----------
    on_change : callable
        Called with the set of services whose merged entries changed.

    Attributes
    ----------
    own : VersionedEntries
        Targets of the nodes that poll this control.
    merged : VersionedEntries
        Newest entry of each target.
    """

    def __init__(self, on_change):
        self.on_change = on_change
        self.own = VersionedEntries(complete=False)
        self.merged = VersionedEntries(complete=False)
        self._peers = {}
        self._unreachable = set()
        self._own_changed = trio.Event()

    def set_complete(self):
        """Declare that all nodes had the time to register."""
        self.own.set_complete()
        self.merged.set_complete()
        self._notify_own()

    def put_own(self, entries):
        """Store entries of nodes that poll this control."""
        version = self.own.version
        for entry in entries:
            self.own.put(entry)
        if self.own.version != version:
            self._notify_own()
        self._merge({entry.target_id for entry in entries})

    async def wait_own_changed(self):
        """Wait until an entry of an own node changes."""
        await self._own_changed.wait()

    def apply_peer(self, control_id, update):
        """Take in what a peer says of its own nodes' targets."""
        known = self._peers.setdefault(control_id, VersionedEntries())
        changed_ids = {entry.target_id for entry in update.entries}
        if update.whole:
            changed_ids |= known.entries.keys()
            known = self._peers[control_id] = VersionedEntries()
        for entry in update.entries:
            known.put(entry)
        self._merge(changed_ids)

    def set_reachable(self, control_id, reachable):
        """Record whether a peer answers."""
        if reachable == (control_id not in self._unreachable):
            return
        if reachable:
            self._unreachable.discard(control_id)
        else:
            self._unreachable.add(control_id)
        if control_id in self._peers:
            self._merge(set(self._peers[control_id].entries))

    def drop_peer(self, control_id):
        """Forget what a peer said."""
        dropped = self._peers.pop(control_id, None)
        if dropped is not None:
            self._merge(set(dropped.entries))

    def _merge(self, target_ids):
        services = set()
        for target_id in sorted(target_ids):
            entry = self._newest(target_id)
            if entry is not None:
                services |= self.merged.put(entry)
        if services:
            self.on_change(services)

    def _newest(self, target_id):
        reachable = self._candidates(target_id, False)
        candidates = reachable or self._candidates(target_id, True)
        if candidates:
            return max(candidates, key=entry_precedence)
        known = self.merged.entries.get(target_id)
        if known is None or known.state is TargetState.GONE:
            return known
        return make_tombstone(known, withdrawn=False)

    def _candidates(self, target_id, unreachable):
        sources = [
            peer.entries
            for control_id, peer in self._peers.items()
            if (control_id in self._unreachable) == unreachable
        ]
        if not unreachable:
            sources.append(self.own.entries)
        return [
            entries[target_id] for entries in sources if target_id in entries
        ]

    def _notify_own(self):
        self._own_changed.set()
        self._own_changed = trio.Event()
