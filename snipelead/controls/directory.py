"""Target directory of a control, merged from the entries of all controls."""

import trio

from snipelead.controls.entries import entry_precedence
from snipelead.controls.entries import make_tombstone
from snipelead.controls.entries import VersionedEntries
from snipelead.types import TargetState

__all__ = ['ControlDirectory']


class ControlDirectory:
    """Targets registered with this control and with the other controls.

    Each control is a source of entries, known by its address: an id may move
    to another address, and an address may get another id. For each target the
    entry that is highest by
    :func:`~snipelead.controls.entries.entry_precedence` wins. Entries from an
    unreachable control are used only for targets that no other control
    reports.

    Parameters
    ----------
    on_change : callable
        Called with the set of services whose merged entries changed.

    Attributes
    ----------
    own : VersionedEntries
        Targets of the nodes that poll this control.
    merged : VersionedEntries
        Winning entry of each target.
    """

    def __init__(self, on_change):
        self.on_change = on_change
        self.own = VersionedEntries(complete=False)
        self.merged = VersionedEntries(complete=False)
        self._peers = {}
        self._unreachable = set()
        self._own_changed = trio.Event()

    def set_complete(self):
        """Mark the directory complete: all nodes have had time to register."""
        self.own.set_complete()
        self.merged.set_complete()
        self._notify_own()

    def put_own(self, entries):
        """Store entries of the nodes that poll this control."""
        version = self.own.version
        for entry in entries:
            self.own.put(entry)
        if self.own.version != version:
            self._notify_own()
        self._merge({entry.target_id for entry in entries})

    async def wait_own_changed(self):
        """Wait until an entry of a node that polls this control changes."""
        await self._own_changed.wait()

    def apply_peer(self, address, update):
        """Apply a peer's update about the targets of its own nodes.

        Parameters
        ----------
        address : Address
            Address of the peer.
        update : DirectoryUpdate
            Changed entries, or all of them if ``update.is_full`` is set.
        """
        known = self._peers.setdefault(address, VersionedEntries())
        changed_ids = {entry.target_id for entry in update.entries}
        if update.is_full:
            changed_ids |= known.entries.keys()
            known = self._peers[address] = VersionedEntries()
        for entry in update.entries:
            known.put(entry)
        self._merge(changed_ids)

    def set_reachable(self, address, reachable):
        """Record whether a peer is reachable."""
        if reachable == (address not in self._unreachable):
            return
        if reachable:
            self._unreachable.discard(address)
        else:
            self._unreachable.add(address)
        if address in self._peers:
            self._merge(set(self._peers[address].entries))

    def drop_peer(self, address):
        """Discard the entries received from a peer."""
        dropped = self._peers.pop(address, None)
        if dropped is not None:
            self._merge(set(dropped.entries))

    def _merge(self, target_ids):
        """Recompute the merged entries of some targets."""
        services = set()
        for target_id in sorted(target_ids):
            entry = self._newest(target_id)
            if entry is not None:
                services |= self.merged.put(entry)
        if services:
            self.on_change(services)

    def _newest(self, target_id):
        """Return the winning entry of a target, or None if never known."""
        reachable = self._candidates(target_id, False)
        candidates = reachable or self._candidates(target_id, True)
        if candidates:
            return max(candidates, key=entry_precedence)
        known = self.merged.entries.get(target_id)
        if known is None or known.state is TargetState.GONE:
            return known
        return make_tombstone(known, withdrawn=False)

    def _candidates(self, target_id, unreachable):
        """Return the entries from reachable or from unreachable controls."""
        sources = [
            peer.entries
            for address, peer in self._peers.items()
            if (address in self._unreachable) == unreachable
        ]
        if not unreachable:
            sources.append(self.own.entries)
        return [
            entries[target_id] for entries in sources if target_id in entries
        ]

    def _notify_own(self):
        self._own_changed.set()
        self._own_changed = trio.Event()
