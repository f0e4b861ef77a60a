"""The one release that a node runs."""

import trio

from snipelead.exceptions import InvariantError
from snipelead.releases.checks import check_release
from snipelead.releases.document import EMPTY_RELEASE

__all__ = ['ReleaseHolder']


class ReleaseHolder:
    """Holds exactly one whole release and only ever moves forward.

    Attributes
    ----------
    current : Release
        Release that every new request is routed by.
    ready : bool
        Whether the floor is known, so that callers may be served.
    """

    def __init__(self):
        self.current = EMPTY_RELEASE
        self.ready = False
        self.observers = []
        self._changed = trio.Event()

    def swap(self, release):
        """Replace the release by a newer one, all at once.

        Returns
        -------
        bool
            False when the release is not newer, in which case nothing
            happens.

        Raises
        ------
        DanglingReferenceError
            If the release is not whole.
        InvariantError
            If two releases of equal number differ.
        """
        same_number = release.number == self.current.number
        if same_number and release.digest != self.current.digest:
            raise InvariantError(f'two releases have number {release.number}')
        if release.number <= self.current.number:
            return False
        check_release(release)
        self.current = release
        for observer in self.observers:
            observer(release)
        self._changed.set()
        self._changed = trio.Event()
        return True

    async def wait_changed(self):
        """Wait until the next swap."""
        await self._changed.wait()
