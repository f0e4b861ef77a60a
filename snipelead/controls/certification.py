"""Coalescing of concurrent certification requests into shared rounds."""

from math import inf

import trio

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError

__all__ = ['SharedCertification']


class _Round:
    """One certification and the event that signals its completion."""

    def __init__(self):
        self.done = trio.Event()
        self.certified = False


class SharedCertification:
    """Coalesces concurrent certifications of a source.

    A request joins only a round that starts after the request arrived. A
    round that is already running may have read the state of the voters
    before the request was made, so its result could be out of date.

    Parameters
    ----------
    source : ReleaseSource
        Source whose ``certify`` method is called once per round.
    interval_s : float
        Minimum time from the start of a round to that of the next, in
        seconds.

    Attributes
    ----------
    rounds : int
        Number of rounds started so far.
    """

    def __init__(self, source, interval_s=0.0):
        self.source = source
        self.interval_s = interval_s
        self.rounds = 0
        self._pending_round = None
        self._round_requested = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run a round whenever requests are waiting, until cancelled."""
        task_status.started()
        next_round_at = -inf
        while True:
            await self._round_requested.wait()
            if self.interval_s:
                await trio.sleep_until(next_round_at)
                next_round_at = trio.current_time() + self.interval_s
            self._round_requested = trio.Event()
            active, self._pending_round = self._pending_round, None
            self.rounds += 1
            active.certified = await self._certify()
            active.done.set()

    async def _certify(self):
        try:
            return await self.source.certify()
        except InvariantError:
            raise
        except SnipeleadError:
            return False

    async def certify(self):
        """Return whether the source was certified during this call."""
        if self._pending_round is None:
            self._pending_round = _Round()
            self._round_requested.set()
        pending = self._pending_round
        await pending.done.wait()
        return pending.certified
