"""Non-blocking TCP connections under trio.

The module uses ``trio.lowlevel`` directly because ``trio.SocketStream``
yields to the scheduler on every send, even when the socket accepts the data
without blocking. That is too slow for the call path.
"""

import errno
import fcntl
from math import inf
import select
import socket
import struct
import termios

import trio

from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.exceptions import SendFailedError

__all__ = [
    'ACCEPT_RETRY_DELAY_S',
    'Connection',
    'connect',
    'listen',
    'split_address',
]

# Pause of a server after it had no file descriptor for a new connection.
ACCEPT_RETRY_DELAY_S = 0.1

RECEIVE_BUFFER_BYTES = 64 * 1024
LISTEN_BACKLOG = 1024
# How long ``Connection.close_gracefully`` waits for the peer to close, so that
# the peer can read the last response.
LINGERING_CLOSE_S = 2.0
_QUEUED_BYTES = struct.Struct('i')
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def split_address(address):
    """Split ``host:port`` or ``[host]:port`` into host and integer port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def _address_family(host):
    return socket.AF_INET6 if ':' in host else socket.AF_INET


class Connection:
    """TCP connection; a context manager that closes it on exit.

    Parameters
    ----------
    sock : socket.socket
        Connected socket; the connection takes ownership of it.

    Attributes
    ----------
    last_used_at : float
        Time of the last use on trio's clock, in seconds.
    closed : bool
        Whether :meth:`close` has been called.
    was_reset : bool
        Whether the connection failed before the peer had ended its stream.
    cancel_scope : trio.CancelScope or None
        Cancel scope of the task that serves the connection.
    account : BufferAccount or None
        Buffers that an accepted connection uses.
    head_started_at : float
        When the first bytes of an incomplete request head were received;
        infinite if there are none.
    send_blocked_at : float
        Since when the peer has taken no data that is being sent; infinite if
        nothing waits to be sent.
    queued_bytes : int
        Bytes that the peer had not acknowledged at the last check.
    """

    def __init__(self, sock):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.last_used_at = 0.0
        self.closed = False
        self.was_reset = False
        self.cancel_scope = None
        self.account = None
        self.head_started_at = inf
        self.send_blocked_at = inf
        self.queued_bytes = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    async def wait_for_response_turn(self, request):
        """Wait until the response to a request may be sent.

        Returns at once: requests on this connection are handled one at a
        time. Pipelined connections wait for the earlier responses.
        """

    def set_user_timeout(self, timeout_ms):
        """Set ``TCP_USER_TIMEOUT``.

        Parameters
        ----------
        timeout_ms : int
            Time in milliseconds after which the kernel closes the
            connection if sent data stays unacknowledged.
        """
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )

    async def receive(self):
        """Return the next bytes, or ``b''`` if the peer closed.

        Raises
        ------
        ConnectionLostError
            If the connection was reset or closed locally.
        """
        while not self.closed:
            # Waiting before the read is a checkpoint: it yields to other
            # tasks even when data is already available.
            try:
                await trio.lowlevel.wait_readable(self.sock)
                data = self.sock.recv(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError) as error:
                self.was_reset = True
                raise ConnectionLostError(str(error)) from error
            if not data and self.was_reset:
                raise ConnectionLostError('the connection was reset')
            return data
        raise ConnectionLostError('the connection was closed locally')

    async def send(self, data):
        """Send all of the data.

        Raises
        ------
        SendFailedError
            If the connection was reset or closed locally.
        """
        sent = self.send_nowait(data)
        if sent < len(data):
            try:
                await self._send_rest(memoryview(data)[sent:])
            finally:
                self.send_blocked_at = inf

    async def _send_rest(self, rest):
        while rest:
            self.send_blocked_at = trio.current_time()
            try:
                await trio.lowlevel.wait_writable(self.sock)
            except (OSError, trio.ClosedResourceError) as error:
                raise SendFailedError(str(error)) from error
            rest = rest[self.send_nowait(rest) :]

    def note_progress(self, now):
        """Restart the time of a blocked send if the peer has taken data.

        The socket becomes writable only after a good part of its buffer is
        free, which takes long if the peer reads slowly.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        """
        result = fcntl.ioctl(
            self.sock, termios.TIOCOUTQ, bytes(_QUEUED_BYTES.size)
        )
        (queued_bytes,) = _QUEUED_BYTES.unpack(result)
        if queued_bytes < self.queued_bytes:
            self.send_blocked_at = now
        self.queued_bytes = queued_bytes

    def send_nowait(self, data):
        """Send as much as possible without blocking.

        Returns
        -------
        int
            Number of bytes sent, 0 if the send buffer is full.

        Raises
        ------
        SendFailedError
            If the connection was reset or closed locally.
        """
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            # The kernel reports an error of the connection only once, so that
            # the next receive would return an end of stream instead. It
            # reports EPIPE if the peer had ended its stream before.
            self.was_reset = self.was_reset or error.errno != errno.EPIPE
            raise SendFailedError(str(error)) from error

    def is_idle(self):
        """Return whether the connection is open with nothing to read.

        False if data, an end of stream or an error is pending.
        """
        if self.closed:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            self.was_reset = True
        return False

    def is_hung_up(self):
        """Return whether the peer closed or reset the connection.

        Unlike :meth:`is_idle`, it ignores data that was received before.
        """
        if self.closed:
            return True
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def abort(self):
        """Close with a TCP reset.

        The reset lets the peer tell a truncated response from a complete
        one that ends with the connection.
        """
        if not self.closed:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            self.close()

    async def close_gracefully(self):
        """Shut down sending and close once the peer has closed.

        Waits at most ``LINGERING_CLOSE_S``. Closing a socket with unread
        data resets the connection, and the peer may then lose a response
        that it has not read yet.
        """
        try:
            self.sock.shutdown(socket.SHUT_WR)
            with trio.move_on_after(LINGERING_CLOSE_S):
                while await self.receive():
                    pass
        except (OSError, ConnectionLostError):
            pass
        finally:
            self.close()

    def close(self):
        """Close the socket; does nothing if already closed."""
        if not self.closed:
            self.closed = True
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()


async def connect(address):
    """Open a connection to an address.

    Parameters
    ----------
    address : Address
        Host and port of the peer.

    Returns
    -------
    Connection

    Raises
    ------
    ConnectFailedError
        If the connection could not be opened; nothing was sent.
    """
    try:
        host, port = split_address(address)
        sock = trio.socket.socket(_address_family(host), socket.SOCK_STREAM)
    except (OSError, ValueError) as error:
        raise ConnectFailedError(f'{address}: {error}') from error
    try:
        await sock.connect((host, port))
    except (OSError, ValueError, OverflowError) as error:
        # Other processes tell addresses, and trio does not accept each text.
        sock.close()
        is_refused = getattr(error, 'errno', None) == errno.ECONNREFUSED
        raise ConnectFailedError(
            f'{address}: {error}', is_refused=is_refused
        ) from error
    except trio.Cancelled:
        sock.close()
        raise
    return Connection(socket.socket(fileno=sock.detach()))


def listen(address):
    """Return a non-blocking listening socket bound to an address.

    Port 0 lets the system choose a free port.
    """
    host, port = split_address(address)
    sock = socket.socket(_address_family(host), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock
