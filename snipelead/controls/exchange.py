"""Exchange of target entries with another control."""

import trio

from snipelead.controls.events import PEER_EXPIRED
from snipelead.controls.events import PEER_LOST
from snipelead.controls.events import PEER_REACHED
from snipelead.controls.polling import MS_PER_S
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import ExchangeRequest
from snipelead.utils.backoff import Backoff

__all__ = ['PeerExchange']

FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
# How long the targets of an unreachable control are kept.
TARGET_RETENTION_S = 600.0


class PeerExchange:
    """Long-polls a peer control for the targets of the nodes that poll it.

    Parameters
    ----------
    control_id : ControlId
        Id of this control.
    link : ControlLink
        Link to the peer.
    directory : ControlDirectory
        Receives the peer's targets.
    rng : random.Random or None
        Source of jitter.
    timings : ControlTimings
        Gives the hold time and the reply timeout of a poll.
    ledger : CrashLedger
        Receives the peer's crash records.

    Attributes
    ----------
    epoch, version : str, int
        Epoch and version of the peer's entries that were received last.
    last_reply_at : float or None
        Time of the last reply, in seconds of the trio clock.
    failures : int
        Number of failed polls since the last reply.
    """

    def __init__(self, control_id, link, directory, rng, timings, ledger):
        self.ledger = ledger
        self.control_id = control_id
        self.link = link
        self.timings = timings
        self.directory = directory
        self.backoff = Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S, rng)
        self.epoch = ''
        self.version = 0
        self.last_reply_at = None
        self.failures = 0

    async def run(self):
        """Poll the peer until it is removed from the controls."""
        miss_s = self.timings.exchange_miss_ms / MS_PER_S
        while not self.link.closed:
            # After a failure, poll without a hold time, so that a reachable
            # peer replies at once.
            hold_ms = 0 if self.failures else self.timings.exchange_hold_ms
            request = ExchangeRequest(
                self.control_id,
                self.epoch,
                self.version,
                hold_ms,
                self.link.crash_epoch,
                self.link.crash_version,
            )
            try:
                reply = await self.link.polls.call(
                    request, hold_ms / MS_PER_S + miss_s
                )
            except InvariantError:
                raise
            except SnipeleadError as error:
                self._handle_failure(error)
                await trio.sleep(self.backoff.next_delay_s())
            else:
                self._handle_reply(reply)
        self.directory.drop_peer(self.link.peer.address)

    def _handle_reply(self, reply):
        """Mark the peer reachable and apply its updates, if there are any."""
        if self.failures or self.last_reply_at is None:
            log_event(PEER_REACHED, control=self.link.control_id)
        self.failures = 0
        self.backoff.reset()
        self.last_reply_at = trio.current_time()
        self.directory.set_reachable(self.link.peer.address, True)
        if reply.crashes is not None:
            self.ledger.merge(reply.crashes.records)
            self.link.crash_epoch = reply.crashes.epoch
            self.link.crash_version = reply.crashes.version
        update = reply.directory
        if update is None:
            return
        self.directory.apply_peer(self.link.peer.address, update)
        self.epoch = update.epoch
        self.version = update.version

    def _handle_failure(self, error):
        """Count a failed poll; mark the peer unreachable or expire it."""
        self.failures += 1
        # The first failure may be caused by a broken connection alone.
        if self.failures == 2:
            self.directory.set_reachable(self.link.peer.address, False)
            log_event(
                PEER_LOST, control=self.link.control_id, error=str(error)
            )
        expired = self.epoch and (
            trio.current_time() - self.last_reply_at >= TARGET_RETENTION_S
        )
        if expired:
            self.directory.drop_peer(self.link.peer.address)
            self.epoch = ''
            self.version = 0
            log_event(PEER_EXPIRED, control=self.link.control_id)
