"""Long polling of one control at a time, with failover."""

import trio

from snipelead.controls.events import CONTROL_LOST
from snipelead.controls.events import CONTROL_REACHED
from snipelead.controls.events import CONTROL_STALE
from snipelead.controls.events import CONTROL_SWITCHED
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import FreshnessRequest
from snipelead.utils.backoff import Backoff

__all__ = ['ControlPoller']

MS_PER_S = 1_000
# The pauses are short, so that a process that was cut off tries each control
# within the time in which the deployment expects it to be current again.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.4
MAX_TIMEOUT_DOUBLINGS = 3
# A control either certifies its release within this time or replies that it
# cannot.
MAX_CERTIFICATION_S = 1.0
# While the polled control is possibly stale, up to this many of the others are
# asked this often whether they are. The number bounds the load of a fleet that
# has no majority of voters.
FRESHNESS_INTERVAL_S = 1.0
MAX_CONTROLS_ASKED = 3
FRESHNESS_TIMEOUT_S = 0.6


class ControlPoller:
    """Long-polls controls, one at a time, in a single task.

    Subclasses create the requests and handle the replies. If a reply does
    not arrive within ``hold_ms + miss_ms``, the poller retries on a new
    connection to the same control, and then fails over to another control.

    While it polls a control that is possibly stale, it asks others whether
    they are current, also those that failed before, and switches to the first
    that is.

    Parameters
    ----------
    links : ControlLinks
        Links to the controls, in order of preference.
    hold_ms : int
        How long a control may hold a poll, in milliseconds.
    miss_ms : int
        How much longer than the hold time the reply may take, in
        milliseconds.
    """

    def __init__(self, links, hold_ms, miss_ms):
        self.links = links
        self.hold_ms = hold_ms
        self.miss_ms = miss_ms
        self.backoff = Backoff(
            FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S, links.rng
        )
        self.poll_cancelled = False

    def make_request(self, link, hold_ms):
        """Return the request to send to a control."""
        raise NotImplementedError

    async def handle_reply(self, link, request, reply):
        """Handle a reply; return the delay before the next poll in seconds."""
        raise NotImplementedError

    async def wait_request_outdated(self):
        """Wait until the content of the last request is out of date."""
        await trio.sleep_forever()

    async def poll_forever(self):
        """Poll until cancelled."""
        try:
            while True:
                delay_s = await self.poll(self.links.choose())
                if not delay_s:
                    continue
                with trio.move_on_after(delay_s):
                    await self.wait_request_outdated()
        finally:
            with trio.CancelScope(shield=True):
                await self.links.aclose()

    async def poll(self, link):
        """Poll a control once; return the delay before the next poll."""
        # If the last poll failed or was cancelled, poll without a hold time,
        # so that a reachable control replies at once. Such a poll is not
        # cancelled, so that changes do not delay the detection of a silent
        # control.
        may_hold = link.responsive and not self.poll_cancelled
        hold_ms = self.hold_ms if may_hold else 0
        self.poll_cancelled = False
        request = self.make_request(link, hold_ms)
        timeout_s = self._timeout_s(link, request)
        try:
            reply = await self._call(link, request, timeout_s)
        except InvariantError:
            raise
        except SnipeleadError as error:
            return self.handle_failure(link, error)
        if reply is None:
            self.poll_cancelled = True
            return 0.0
        if not link.responsive:
            log_event(CONTROL_REACHED, control=link.control_id)
        link.responsive = True
        if reply.possibly_stale:
            if not self.links.is_possibly_stale(link):
                log_event(CONTROL_STALE, control=link.control_id)
            self.links.mark_possibly_stale(link)
        else:
            self.links.mark_current(link)
        delay_s = await self.handle_reply(link, request, reply)
        if not delay_s:
            self.backoff.reset()
        return delay_s

    def _timeout_s(self, link, request):
        timeout_s = (request.hold_ms + self.miss_ms) / MS_PER_S
        if request.needs_certification:
            timeout_s += MAX_CERTIFICATION_S
        if link.responsive:
            return timeout_s
        # Many clients that time out and retry at once would add to the load
        # of a busy control, so the timeout grows with repeated failures.
        repeated_failures = max(0, self.backoff.failures - 1)
        return timeout_s * 2 ** min(repeated_failures, MAX_TIMEOUT_DOUBLINGS)

    async def _call(self, link, request, timeout_s):
        """Return the reply, or None if the poll should not go on.

        That is, if the request is out of date or another control is current.
        """
        replies = []
        failures = []

        async def cancel_when_outdated():
            await self.wait_request_outdated()
            nursery.cancel_scope.cancel()

        async def cancel_when_another_is_current():
            await self._find_current_control(link)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            if request.hold_ms:
                nursery.start_soon(cancel_when_outdated)
            if self.links.is_possibly_stale(link):
                nursery.start_soon(cancel_when_another_is_current)
            try:
                replies.append(await link.polls.call(request, timeout_s))
            except SnipeleadError as error:
                failures.append(error)
            nursery.cancel_scope.cancel()
        if failures:
            raise failures[0]
        return replies[0] if replies else None

    async def _find_current_control(self, polled_link):
        """Wait until a control other than the polled one is current."""
        others = [link for link in self.links.links if link is not polled_link]
        asked = min(len(others), MAX_CONTROLS_ASKED)
        while True:
            async with trio.open_nursery() as nursery:
                for link in self.links.rng.sample(others, asked):
                    nursery.start_soon(self._ask_freshness, link)
            best = self.links.choose()
            if best is not polled_link and not self.links.is_possibly_stale(
                best
            ):
                log_event(
                    CONTROL_SWITCHED,
                    control=best.control_id,
                    left=polled_link.control_id,
                )
                return
            await trio.sleep(FRESHNESS_INTERVAL_S)

    async def _ask_freshness(self, link):
        """Ask a control whether it is possibly stale and mark its link."""
        try:
            # This channel is idle, so that a timeout, which resets it, ends
            # no other call.
            reply = await link.polls.call(
                FreshnessRequest(), FRESHNESS_TIMEOUT_S
            )
        except InvariantError:
            raise
        except SnipeleadError:
            # The link keeps its marks, by which it is not preferred.
            return
        if reply.possibly_stale:
            self.links.mark_possibly_stale(link)
        else:
            self.links.mark_current(link)

    def handle_failure(self, link, error):
        """Record a failed poll; return the delay before the next one."""
        # The first failure may be caused by a broken connection alone, so
        # the same control is tried once more.
        if not link.responsive:
            self.links.record_failure(link)
            log_event(CONTROL_LOST, control=link.control_id, error=str(error))
        link.responsive = False
        return self.backoff.next_delay_s()
