"""Target entries with versions, so that only changes are sent."""

from collections import OrderedDict
from uuid import uuid4

from msgspec.structs import replace

from snipelead.messages import DirectoryUpdate
from snipelead.types import TargetState

__all__ = ['VersionedEntries', 'entry_precedence', 'make_tombstone']

MAX_TOMBSTONES = 10_000
EPOCH_CHARS = 8


def entry_precedence(entry):
    """Order of entries of one target; a live one wins a tie.

    A control whose lease on a node ends reports the entry as gone without a
    new sequence, so that a control that still holds a lease overrules it.
    """
    live = entry.state is not TargetState.GONE
    return (entry.incarnation, entry.sequence, live)


def make_tombstone(entry, withdrawn):
    """Return the entry as gone.

    Parameters
    ----------
    entry : TargetEntry
        Last known entry.
    final : bool
        Whether the node itself withdrew the target, which overrules entries
        of the same sequence; otherwise only a lease ended.
    """
    sequence = entry.sequence + 1 if withdrawn else entry.sequence
    return replace(entry, state=TargetState.GONE, sequence=sequence)


class VersionedEntries:
    """Target entries and the version at which each last changed.

    Attributes
    ----------
    epoch : str
        Names this life of the entries.
    version : int
        Grows by one with each change.
    complete : bool
        Whether absent targets are known to be absent.
    entries : dict of TargetId to TargetEntry
        Entries, those gone included (tombstones, of a bounded number).
    """

    def __init__(self, complete=True):
        self.epoch = uuid4().hex[:EPOCH_CHARS]
        self.version = 0
        self.complete = complete
        self.entries = {}
        self._changes = {}
        self._tombstones = OrderedDict()
        # Receivers with an older version may have missed a dropped tombstone.
        self._oldest_version = 0

    def set_complete(self):
        """Declare the entries complete; receivers get them whole again."""
        self.complete = True
        self.epoch = uuid4().hex[:EPOCH_CHARS]

    def put(self, entry):
        """Store an entry; returns the services that are affected."""
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
        """Return the entries that are not gone, of some services or all."""
        return tuple(
            entry
            for entry in self._select(services)
            if entry.state is not TargetState.GONE
        )

    def update_since(self, epoch, version, services=None, unseen=()):
        """Return what changed, or None.

        Parameters
        ----------
        epoch, version : str, int
            State of the receiver.
        services : collection of ServiceName or None
            Services that the receiver wants, None for all.
        unseen : collection of ServiceName
            Services of which the receiver was never told.

        Returns
        -------
        DirectoryUpdate or None
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
        if services is None:
            yield from self.entries.values()
            return
        for service in services:
            for target_id in self._changes.get(service, ()):
                entry = self.entries[target_id]
                if entry.service == service:
                    yield entry

    def _changed_since(self, version, services):
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
