"""Directory of the targets of the services that a node calls."""

from collections import OrderedDict

import trio

from snipelead.types import TargetState

__all__ = ['TargetDirectory', 'supersedes']

MAX_TOMBSTONES = 1_000


def supersedes(entry, known):
    """Return whether a target entry supersedes a known one or None."""
    if known is None:
        return True
    return (entry.incarnation, entry.sequence) > (
        known.incarnation,
        known.sequence,
    )


class TargetDirectory:
    """Targets by service, as received from controls and other nodes.

    Attributes
    ----------
    epoch, version : str, int
        Epoch and version of the directory that was last received; sent with
        each poll.
    tombstones : OrderedDict of TargetId to None
        Withdrawn targets, oldest first; at most ``MAX_TOMBSTONES``.
    subscriptions : set of ServiceName
        Services whose targets the node receives.
    """

    def __init__(self):
        self.epoch = ''
        self.version = 0
        self.subscriptions = set()
        self._entries = {}
        self._by_service = {}
        self._node_count = 0
        self._zone_by_address = {}
        self.tombstones = OrderedDict()
        self._subscribed = trio.Event()
        self._changed = trio.Event()

    def subscribe(self, service):
        """Subscribe to the targets of a service; return False if known."""
        if service in self.subscriptions:
            return False
        self.subscriptions.add(service)
        self._subscribed.set()
        self._subscribed = trio.Event()
        return True

    async def wait_subscribed(self):
        """Wait until a service is added to the subscriptions."""
        await self._subscribed.wait()

    async def wait_changed(self):
        """Wait until the entries change."""
        await self._changed.wait()

    def get_targets(self, service):
        """Return the entries of a service except those of gone targets."""
        return self._by_service.get(service, ())

    def addresses(self):
        """Return the addresses of all nodes with targets."""
        return self._zone_by_address.keys()

    def addresses_in_zone(self, zone):
        """Return the addresses of the nodes in an availability zone."""
        return [
            address
            for address, node_zone in self._zone_by_address.items()
            if node_zone == zone
        ]

    def count_nodes(self):
        """Return the number of nodes with targets."""
        return self._node_count

    def apply(self, update):
        """Apply a :class:`~snipelead.messages.DirectoryUpdate`."""
        if update.is_full:
            self._drop_missing({entry.target_id for entry in update.entries})
        for entry in update.entries:
            self._store(entry)
        self.epoch = update.epoch
        self.version = update.version
        self._rebuild()

    def merge(self, entry):
        """Store an entry unless a newer one is known."""
        if self._store(entry):
            self._rebuild()

    def _store(self, entry):
        known = self._entries.get(entry.target_id)
        if known is not None and supersedes(known, entry):
            return False
        is_gone = entry.state is TargetState.GONE
        if is_gone and not supersedes(entry, known):
            if known.state is TargetState.GONE:
                return False
            # Only the lease has expired; the same entry may come back.
            del self._entries[entry.target_id]
            return True
        self._entries[entry.target_id] = entry
        self._track_tombstone(entry.target_id, is_gone)
        return entry != known

    def _track_tombstone(self, target_id, is_gone):
        """Keep the newest tombstones; they supersede delayed old entries."""
        self.tombstones.pop(target_id, None)
        if not is_gone:
            return
        self.tombstones[target_id] = None
        if len(self.tombstones) > MAX_TOMBSTONES:
            oldest, _ = self.tombstones.popitem(last=False)
            del self._entries[oldest]

    def _drop_missing(self, listed_ids):
        self._entries = {
            target_id: entry
            for target_id, entry in self._entries.items()
            if target_id in listed_ids or target_id in self.tombstones
        }

    def _rebuild(self):
        by_service = {}
        for entry in self._entries.values():
            if entry.state is not TargetState.GONE:
                by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {
            service: tuple(entries) for service, entries in by_service.items()
        }
        self._zone_by_address = {
            entry.address: entry.zone
            for entry in self._entries.values()
            if entry.state is not TargetState.GONE
        }
        self._node_count = len(self._zone_by_address)
        self._changed.set()
        self._changed = trio.Event()
