"""Exchange of the loads of targets among nodes and controls."""

import trio

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.messages.loads import LoadExchangeReply
from snipelead.messages.loads import LoadExchangeRequest
from snipelead.messages.loads import LoadReply
from snipelead.messages.loads import LoadRequest
from snipelead.placement.loads import LoadTable
from snipelead.placement.loads import MAX_LOAD_AGE_S

__all__ = ['LoadService']

EXCHANGE_INTERVAL_S = 0.3
EXCHANGE_TIMEOUT_S = 0.6
# After a failure, a control that cannot be reached is asked less often.
FAILURE_PAUSE_S = 1.0


class LoadService:
    """Collects the loads that nodes report and passes them on.

    Loads are soft state: nothing waits for them, they are not stored, and
    whatever is lost is replaced by the next report. Controls ask each other
    only while nodes report.

    Parameters
    ----------
    control_id : ControlId
        Id of this control.

    Attributes
    ----------
    own : LoadTable
        Loads reported by the nodes that poll this control.
    merged : LoadTable
        The same and those of other controls.
    reported_at : float
        Time of the last report of a node, in seconds of trio's clock.
    """

    def __init__(self, control_id):
        self.control_id = control_id
        self.own = LoadTable()
        self.merged = LoadTable()
        self.reported_at = -MAX_LOAD_AGE_S

    def handlers(self):
        """Return the handlers of remote procedures by request type."""
        return {
            LoadRequest: self.report,
            LoadExchangeRequest: self.exchange,
        }

    async def report(self, request):
        """Take over the loads of a node and return those it asks for."""
        now = trio.current_time()
        self.reported_at = now
        self.own.merge(request.loads, now)
        self.merged.merge(request.loads, now)
        self.merged.expire(now)
        return LoadReply(self.merged.select(now, frozenset(request.services)))

    async def exchange(self, request):
        """Return the loads that nodes have reported to this control."""
        now = trio.current_time()
        self.own.expire(now)
        return LoadExchangeReply(self.own.select(now))

    def is_active(self, now):
        """Return whether nodes have reported loads recently."""
        return now - self.reported_at <= MAX_LOAD_AGE_S

    async def poll_peer(self, link):
        """Ask another control for its loads until the link is closed.

        Parameters
        ----------
        link : ControlLink
            Link to the other control.
        """
        while not link.closed:
            await trio.sleep(EXCHANGE_INTERVAL_S)
            if not self.is_active(trio.current_time()):
                continue
            try:
                reply = await link.calls.call(
                    LoadExchangeRequest(self.control_id), EXCHANGE_TIMEOUT_S
                )
            except InvariantError:
                raise
            except SnipeleadError:
                await trio.sleep(FAILURE_PAUSE_S)
            else:
                self.merged.merge(reply.loads, trio.current_time())
