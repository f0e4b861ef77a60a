"""Recent releases, kept compactly as bases of net deltas."""

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
    """A release that was replaced.

    Parameters
    ----------
    successor_note_id : NoteId
        Note that created the release that replaced this one.
    back : Delta
        Leads from the release that replaced this one back to it.
    """

    successor_note_id: NoteId
    back: Delta


class History:
    """The newest release and what leads back to recent ones.

    Parameters
    ----------
    current : Release
        Newest release.
    past : list of PastRelease
        Steps back, oldest first.
    """

    def __init__(self, current=EMPTY_RELEASE, past=()):
        self.current = current
        self.past = list(past)
        self.rebuilt_releases = OrderedDict()

    def push(self, release, note_id):
        """Make a release the newest one."""
        back = make_delta(release, self.current)
        self.past.append(PastRelease(note_id, back))
        del self.past[:-MAX_PAST_RELEASES]
        self.current = release

    def note_of_release(self, number):
        """Return the note that took a number, or None if not known."""
        for step in reversed(self.past):
            if step.back.base.number == number:
                return step.successor_note_id
            if step.back.base.number < number:
                return None
        return None

    def find(self, digest):
        """Return a recent release by digest, or None."""
        if digest == self.current.digest:
            return self.current
        known = self.rebuilt_releases.get(digest)
        if known is None:
            known = self._rebuild(digest)
        if known is not None:
            self.rebuilt_releases[digest] = known
            self.rebuilt_releases.move_to_end(digest)
            if len(self.rebuilt_releases) > MAX_CACHED_RELEASES:
                self.rebuilt_releases.popitem(last=False)
        return known

    def _rebuild(self, digest):
        steps = [s.back for s in self.past]
        targets = [back.target.digest for back in steps]
        if digest not in targets:
            return None
        services = dict(self.current.services)
        routes = dict(self.current.routes)
        settings = dict(self.current.settings)
        for back in reversed(steps[targets.index(digest) :]):
            _apply_changes(services, back.services, back.removed_services)
            _apply_changes(routes, back.routes, back.removed_routes)
            _apply_changes(settings, back.settings, back.removed_settings)
        number = ReleaseNumber(back.target.number)
        return Release(number, services, routes, settings)


def _apply_changes(table, changed, removed):
    for name in removed:
        del table[name]
    table.update((value.name, value) for value in changed)
