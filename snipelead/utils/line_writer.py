"""Non-blocking output of log lines."""

from collections import deque
import os
import select

__all__ = ['NonBlockingLineWriter']

# A pipe that polls as writable accepts at least this many bytes (PIPE_BUF)
# without blocking.
MAX_WRITE_BYTES = 4096
# If more bytes are buffered, lines about requests are dropped. This holds a
# quarter of a second of output at the highest load.
REQUEST_LINES_LIMIT_BYTES = 64 * 1024
# If more bytes are buffered, all lines are dropped.
ALL_LINES_LIMIT_BYTES = 512 * 1024


class NonBlockingLineWriter:
    """Non-blocking writer of lines with a bounded buffer.

    Parameters
    ----------
    descriptor : int
        File descriptor to which the lines are written.

    Attributes
    ----------
    pending_lines : deque of bytes
        Lines that are not yet written.
    pending_bytes : int
        Total size of these lines.
    dropped_count : int
        Number of lines dropped since the last call of ``reset_dropped_count``.
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self.pending_lines = deque()
        self.pending_bytes = 0
        self.dropped_count = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line, is_request_event=False):
        """Buffer a line, or drop it if the buffer is full.

        Parameters
        ----------
        line : bytes
            Line without the newline character.
        is_request_event : bool
            Whether the line is about one request; such lines are dropped
            first.
        """
        limit_bytes = (
            REQUEST_LINES_LIMIT_BYTES
            if is_request_event
            else ALL_LINES_LIMIT_BYTES
        )
        if self.pending_bytes > limit_bytes:
            self.dropped_count += 1
            return
        data = line + b'\n'
        self.pending_lines.append(data)
        self.pending_bytes += len(data)
        self.flush()

    def reset_dropped_count(self):
        """Return the number of dropped lines and reset it to 0."""
        dropped_count, self.dropped_count = self.dropped_count, 0
        return dropped_count

    def flush(self):
        """Write as many buffered lines as possible without blocking."""
        while self.pending_lines and self._is_writable():
            data = self.pending_lines.popleft()
            chunk, remainder = data[:MAX_WRITE_BYTES], data[MAX_WRITE_BYTES:]
            try:
                written_bytes = os.write(self.descriptor, chunk)
            except OSError:
                # The reader closed the pipe, so the error cannot be logged.
                self.pending_lines.clear()
                self.pending_bytes = 0
                return
            self.pending_bytes -= written_bytes
            remainder = chunk[written_bytes:] + remainder
            if remainder:
                self.pending_lines.appendleft(remainder)

    def _is_writable(self):
        return any(flags & select.POLLOUT for _, flags in self._poll.poll(0))
