"""Incremental parsing of HTTP/1.1 requests."""

import httptools

from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.exceptions import UpgradeRefusedError
from snipelead.http.reading import MessageReader

__all__ = ['RequestReader']

_EMPTY_LINE = b'\r\n\r\n'


class RequestReader(MessageReader):
    """Reads the requests of a connection in order.

    Received bytes are parsed only as far as the request that is read: 64 KiB
    may hold thousands of pipelined requests, which take many times as much
    once they are parsed.

    Attributes
    ----------
    unparsed : bytes
        Received bytes, of which those from ``unparsed_start`` on have not
        been parsed.
    unparsed_start : int
        See ``unparsed``.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.unparsed = b''
        self.unparsed_start = 0

    @property
    def has_unread_requests(self):
        """Whether data after the current request has been received."""
        return bool(self.ready_messages or self.unparsed)

    def feed(self, data):
        """Parse received data up to the end of one request."""
        if not self.unparsed:
            end = self._find_end(data, 0)
            if end >= len(data):
                super().feed(data)
                return
            self.keep_unparsed(data, 0)
        self.feed_unparsed()

    def feed_unparsed(self):
        """Parse data that was received before up to the end of one request."""
        while self.unparsed and self.error is None:
            data, start = self.unparsed, self.unparsed_start
            end = self._find_end(data, start)
            self.keep_unparsed(data, end)
            super().feed(data[start:end])
            if self.current_message is None:
                return

    def keep_unparsed(self, data, start):
        """Keep received data from a position on for later."""
        is_used_up = start >= len(data)
        self.unparsed = b'' if is_used_up else data
        self.unparsed_start = 0 if is_used_up else start

    def _find_end(self, data, start):
        """Return the end of the part of the data to parse next.

        Heads and chunked bodies end with an empty line. A body of known
        length is parsed at once as far as it was received.
        """
        message = self.current_message
        if message is not None and not self.in_head:
            length = message.content_length
            if length is not None:
                received = message.received_bytes
                return start + max(1, length - received)
        found = data.find(_EMPTY_LINE, start)
        return len(data) if found < 0 else found + len(_EMPTY_LINE)

    async def receive(self):
        """Receive and parse more data; see the base class."""
        if self.unparsed and self.error is None:
            self.feed_unparsed()
        else:
            await super().receive()

    def make_parser(self):
        """Return a new request parser."""
        return httptools.HttpRequestParser(self)

    def on_url(self, url):
        """Append a part of the URL."""
        self.parsed_head_bytes += len(url)
        self.current_message.url += url

    def on_headers_complete(self):
        """Complete the head of the current request."""
        if self.parser.should_upgrade():
            raise UpgradeRefusedError('protocol upgrades are not supported')
        self.current_message.method = self.parser.get_method()
        self.complete_head()

    async def next_request(self):
        """Return the next request, or None once the connection ended.

        Raises
        ------
        MalformedMessageError, HeadTooLargeError, UpgradeRefusedError
            If the received data is not an acceptable request.
        """
        while not self.ready_messages:
            try:
                await self.receive()
            except ConnectionLostError:
                return None
        return self.ready_messages.popleft()
