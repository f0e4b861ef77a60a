"""Holder of the release that a node is running."""

import trio

from snipelead.exceptions import InvariantError
from snipelead.releases.checks import check_release
from snipelead.releases.document import EMPTY_RELEASE

__all__ = ['ReleaseHolder']


class ReleaseHolder:
    """Holds one complete release, whose number never decreases.

    Attributes
    ----------
    current : Release
        Release by which new requests are routed.
    ready : bool
        Whether the floor, the lowest release number that the node may run, is
        known, so that callers may be served.
    observers : list of callable
        Called with each new release.
    """

    def __init__(self):
        self.current = EMPTY_RELEASE
        self.ready = False
        self.observers = []
        self._changed = trio.Event()

    def replace(self, release):
        """Replace the release atomically by a newer one.

        Returns
        -------
        bool
            False if the release is not newer; it is ignored then.

        Raises
        ------
        DanglingReferenceError
            If the release refers to something that it does not contain.
        InvariantError
            If two releases with the same number differ.
        """
        same_number = release.number == self.current.number
        if same_number and release.digest != self.current.digest:
            raise InvariantError(
                f'two different releases have number {release.number}'
            )
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
        """Wait until the release is replaced."""
        await self._changed.wait()
