"""One certification round shared by all requests that wait for it."""

import trio

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError

__all__ = ['SharedCertification']


class _Round:
    def __init__(self):
        self.done = trio.Event()
        self.certified = False


class SharedCertification:
    """Coalesces concurrent certifications of a source.

    A request joins only a round that begins after it came: a round under
    way may have proved something older than the request.

    Parameters
    ----------
    source : ReleaseSource
        Source whose ``certify`` makes a round.

    Attributes
    ----------
    rounds : int
        Rounds made so far.
    """

    def __init__(self, source):
        self.source = source
        self.rounds = 0
        self._pending_round = None
        self._round_requested = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Make rounds while requests wait, until cancelled."""
        task_status.started()
        while True:
            await self._round_requested.wait()
            self._round_requested = trio.Event()
            current, self._pending_round = self._pending_round, None
            self.rounds += 1
            current.certified = await self._certify()
            current.done.set()

    async def _certify(self):
        try:
            return await self.source.certify()
        except InvariantError:
            raise
        except SnipeleadError:
            return False

    async def certify(self):
        """Return whether the source proved itself current meanwhile."""
        if self._pending_round is None:
            self._pending_round = _Round()
            self._round_requested.set()
        pending = self._pending_round
        await pending.done.wait()
        return pending.certified
