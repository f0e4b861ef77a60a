"""Response of a local target."""

import trio

__all__ = ['LocalResponse']


class LocalResponse:
    """Response of a local target; holds a slot until it is closed.

    Attributes
    ----------
    response : Message
        HTTP response whose body is read as it arrives.
    """

    __slots__ = ('address', 'call', 'closed', 'limiter', 'reader', 'response')

    def __init__(self, limiter, call, address, reader, response):
        self.limiter = limiter
        self.call = call
        self.address = address
        self.reader = reader
        self.response = response
        self.closed = False

    @property
    def load(self):
        """Load of the target, as reported with responses to other nodes."""
        return self.limiter.report_load(self.call)

    def close(self):
        """Release the slot and the connection; later calls do nothing."""
        if self.closed:
            return
        self.closed = True
        limiter = self.limiter
        try:
            service_s = trio.current_time() - self.call.slot_acquired_at
            limiter.statistics.record(
                self.response, service_s, self.call.route
            )
            limiter.sender.release(self.address, self.reader, self.response)
        finally:
            limiter.release_slot(self.call)
