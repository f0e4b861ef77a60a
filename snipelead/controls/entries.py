"""Versioned target entries, from which incremental updates are computed."""

from collections import OrderedDict
from uuid import uuid4

from msgspec.structs import replace

from snipelead.messages import DirectoryUpdate
from snipelead.types import TargetState

__all__ = ['VersionedEntries', 'entry_precedence', 'make_tombstone']

MAX_TOMBSTONES = 10_000
EPOCH_CHARS = 8


def entry_precedence(entry):
    """Return the sort key that ranks entries of one target; highest wins.

    A live entry wins over a tombstone of equal incarnation and sequence. A
    control whose lease on a node expires keeps the sequence in its
    tombstone, so an entry from a control that still holds a lease on the
    node takes precedence.
    """
    live = entry.state is not TargetState.GONE
    return (entry.incarnation, entry.sequence, live)


def make_tombstone(entry, withdrawn):
    """Return the tombstone of an entry.

    Parameters
    ----------
    entry : TargetEntry
        Last known entry.
    withdrawn : bool
        True if the node itself withdrew the target; the tombstone then
        takes precedence over the entry. False if only a lease expired.

    Returns
    -------
    TargetEntry
    """
    sequence = entry.sequence + 1 if withdrawn else entry.sequence
    return replace(entry, state=TargetState.GONE, sequence=sequence)


class VersionedEntries:
    """Target entries and the version at which each of them last changed.

    Attributes
    ----------
    epoch : str
        Random identifier that is replaced when the entries become complete.
        Versions of different epochs cannot be compared.
    version : int
        Incremented with each change.
    complete : bool
        Whether a target without an entry is known not to exist.
    entries : dict of TargetId to TargetEntry
        Live entries and tombstones. The number of tombstones is bounded by
        ``MAX_TOMBSTONES``.
    """

    def __init__(self, complete=True):
        self.epoch = uuid4().hex[:EPOCH_CHARS]
        self.version = 0
        self.complete = complete
        self.entries = {}
        self._changes = {}
        self._tombstones = OrderedDict()
        # Receivers at an older version may have missed a tombstone that was
        # dropped since, so they get a full update.
        self._oldest_version = 0

    def set_complete(self):
        """Mark the entries complete; receivers then get a full update."""
        self.complete = True
        self.epoch = uuid4().hex[:EPOCH_CHARS]

    def put(self, entry):
        """Store an entry.

        Returns
        -------
        set of ServiceName
            Services whose entries changed; empty if the entry is known.
        """
        known = self.entries.get(entry.target_id)
        if known == entry:
            return set()
        self.version += 1
        self.entries[entry.target_id] = entry
        services = {entry.service}
        if known is not None:
            services.add(known.service)
        for service in services:
            changes = self._changes.setdefault(service, OrderedDict())
            changes[entry.target_id] = self.version
            changes.move_to_end(entry.target_id)
        self._track_tombstone(entry)
        return services

    def live(self, services=None):
        """Return the live entries of some services, or of all services."""
        return tuple(
            entry
            for entry in self._select(services)
            if entry.state is not TargetState.GONE
        )

    def update_since(self, epoch, version, services=None, unseen=()):
        """Return an update from the receiver's state to the current one.

        Parameters
        ----------
        epoch, version : str, int
            Epoch and version that the receiver has.
        services : collection of ServiceName or None
            Services that the receiver subscribes to; None for all.
        unseen : collection of ServiceName
            Services whose entries the receiver has never been sent.

        Returns
        -------
        DirectoryUpdate or None
            None if nothing changed. A full update if the receiver's epoch
            differs or its version is too old for an incremental one.
        """
        if epoch != self.epoch or version < self._oldest_version:
            return DirectoryUpdate(
                self.epoch, self.version, self.complete, self.live(services)
            )
        changed = self._changed_since(version, services)
        for entry in self.live(unseen) if unseen else ():
            changed[entry.target_id] = entry
        if not changed and not unseen:
            return None
        return DirectoryUpdate(
            self.epoch, self.version, False, tuple(changed.values())
        )

    def _select(self, services):
        """Yield the entries of some services, or of all services."""
        if services is None:
            yield from self.entries.values()
            return
        for service in services:
            for target_id in self._changes.get(service, ()):
                entry = self.entries[target_id]
                if entry.service == service:
                    yield entry

    def _changed_since(self, version, services):
        """Return the entries that changed after a version, by target id."""
        selected = self._changes if services is None else services
        changed = {}
        for service in selected if version < self.version else ():
            changes = self._changes.get(service, {})
            for target_id in reversed(changes):
                if changes[target_id] <= version:
                    break
                changed[target_id] = self.entries[target_id]
        return changed

    def _track_tombstone(self, entry):
        """Update the tombstones, dropping the oldest beyond the bound."""
        self._tombstones.pop(entry.target_id, None)
        if entry.state is not TargetState.GONE:
            return
        self._tombstones[entry.target_id] = self.version
        if len(self._tombstones) > MAX_TOMBSTONES:
            target_id, version = self._tombstones.popitem(last=False)
            self._oldest_version = version
            del self.entries[target_id]
            for changes in self._changes.values():
                changes.pop(target_id, None)
