"""Recent releases, kept as reverse deltas to serve as bases of deltas."""

from collections import OrderedDict

from msgspec import Struct

from snipelead.releases.delta import Delta
from snipelead.releases.delta import make_delta
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import Release
from snipelead.types import NoteId
from snipelead.types import ReleaseNumber

__all__ = ['History', 'PastRelease']

MAX_PAST_RELEASES = 1_000
MAX_CACHED_RELEASES = 32


class PastRelease(Struct, frozen=True, array_like=True):
    """A superseded release, stored as a delta from its successor.

    Parameters
    ----------
    successor_note_id : NoteId
        Note that created the successor.
    reverse_delta : Delta
        Delta from the successor back to this release.
    """

    successor_note_id: NoteId
    reverse_delta: Delta


class History:
    """The newest release and the reverse deltas to recent ones.

    Parameters
    ----------
    current : Release
        Newest release.
    past : list of PastRelease
        Superseded releases, oldest first.

    Attributes
    ----------
    rebuilt_releases : OrderedDict of str to Release
        Cache of past releases by digest, least recently used first; at most
        ``MAX_CACHED_RELEASES``.
    """

    def __init__(self, current=EMPTY_RELEASE, past=()):
        self.current = current
        self.past = list(past)
        self.rebuilt_releases = OrderedDict()

    def push(self, release, note_id):
        """Make a release the newest one, created by a note."""
        reverse_delta = make_delta(release, self.current)
        self.past.append(PastRelease(note_id, reverse_delta))
        del self.past[:-MAX_PAST_RELEASES]
        self.current = release

    def note_of_release(self, number):
        """Return the note that created a release, or None if unknown."""
        for past_release in reversed(self.past):
            if past_release.reverse_delta.base.number == number:
                return past_release.successor_note_id
            if past_release.reverse_delta.base.number < number:
                return None
        return None

    def find_by_digest(self, digest):
        """Return a recent release by digest, or None."""
        if digest == self.current.digest:
            return self.current
        release = self.rebuilt_releases.get(digest)
        if release is None:
            release = self._rebuild(digest)
        if release is not None:
            self.rebuilt_releases[digest] = release
            self.rebuilt_releases.move_to_end(digest)
            if len(self.rebuilt_releases) > MAX_CACHED_RELEASES:
                self.rebuilt_releases.popitem(last=False)
        return release

    def _rebuild(self, digest):
        reverse_deltas = [p.reverse_delta for p in self.past]
        past_digests = [d.result.digest for d in reverse_deltas]
        if digest not in past_digests:
            return None
        services = dict(self.current.services)
        routes = dict(self.current.routes)
        settings = dict(self.current.settings)
        customers = dict(self.current.customers)
        for reverse_delta in reversed(
            reverse_deltas[past_digests.index(digest) :]
        ):
            _apply_changes(
                services,
                reverse_delta.services,
                reverse_delta.removed_services,
            )
            _apply_changes(
                routes, reverse_delta.routes, reverse_delta.removed_routes
            )
            _apply_changes(
                settings,
                reverse_delta.settings,
                reverse_delta.removed_settings,
            )
            _apply_changes(
                customers,
                reverse_delta.customers,
                reverse_delta.removed_customers,
            )
        number = ReleaseNumber(reverse_delta.result.number)
        return Release(number, services, routes, settings, customers)


def _apply_changes(table, changed, removed):
    for name in removed:
        del table[name]
    table.update((value.name, value) for value in changed)
