"""Quart applications on Hypercorn, as tasks of a trio program."""

from functools import partial
from math import ceil
import sys

from hypercorn.config import Config
from hypercorn.trio import serve
import msgspec
from quart import current_app
from quart import request
from quart import Response
from quart_trio import QuartTrio
import trio
from werkzeug.exceptions import HTTPException

from snipelead.exceptions import InvalidParameterError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.types import Address
from snipelead.utils.events import HTTP_REQUEST_FAILED
from snipelead.utils.exceptions import HttpRequestError
from snipelead.utils.exceptions import HttpServerError

__all__ = [
    'error_response',
    'json_response',
    'make_quart',
    'metrics_response',
    'read_json',
    'retry_headers',
    'serve_app',
]

BACKLOG = 512
GRACE_S = 3.0
_MS_PER_S = 1_000
_BROKEN = 'snipelead-broken-invariant'


def json_response(value, status=200, headers=None):
    """Build a JSON answer.

    Parameters
    ----------
    value : Struct or object
        Anything that msgspec can encode.
    status : int
        HTTP status.
    headers : dict of str to str or None
        Further headers.

    Returns
    -------
    quart.Response
    """
    return Response(
        msgspec.json.encode(value) + b'\n',
        status=status,
        headers=headers,
        mimetype='application/json',
    )


def retry_headers(retry_after_ms):
    """Return the headers that tell a client when to come back."""
    if retry_after_ms is None:
        return {}
    return {
        'Retry-After': str(ceil(retry_after_ms / _MS_PER_S)),
        'X-Retry-After-Ms': str(retry_after_ms),
    }


def error_response(error, status):
    """Build the answer that carries a coded error."""
    return json_response(
        error.to_info(),
        status,
        {'X-Snipelead-Code': error.code} | retry_headers(error.retry_after_ms),
    )


def metrics_response(metrics):
    """Render metrics, or an empty page when there are none."""
    if metrics is None:
        return Response(b'', mimetype='text/plain')
    body, headers = metrics.render()
    return Response(body, headers=headers)


async def read_json(message_type):
    """Decode the body of the current request strictly.

    Raises
    ------
    HttpRequestError
        If the body is not the JSON form of the message.
    """
    body = await request.get_data()
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.DecodeError as error:
        raise HttpRequestError(f'unreadable body: {error}') from error


async def _answer_http_error(error):
    known = HttpRequestError(f'{error.name}: {error.description}')
    return error_response(known, error.code)


async def _answer_coded_error(error):
    match error:
        case InvariantError():
            # The process must stop; serve_app raises this error.
            current_app.extensions[_BROKEN].send(error)
            return error_response(error, 500)
        case HttpRequestError() | InvalidParameterError():
            return error_response(error, 400)
        case _:
            return error_response(error, 503)


async def _answer_unforeseen_error(error):
    log_event(HTTP_REQUEST_FAILED, path=request.path, error=repr(error))
    return error_response(HttpServerError(repr(error)), 500)


def make_quart(name, max_body_bytes):
    """Make an application whose errors are all coded JSON answers.

    Parameters
    ----------
    name : str
        Import name of the module that adds the routes.
    max_body_bytes : int
        Largest request body.

    Returns
    -------
    QuartTrio
    """
    app = QuartTrio(name)
    app.config['MAX_CONTENT_LENGTH'] = max_body_bytes
    app.extensions[_BROKEN] = _BrokenInvariant()
    app.register_error_handler(HTTPException, _answer_http_error)
    app.register_error_handler(SnipeleadError, _answer_coded_error)
    app.register_error_handler(Exception, _answer_unforeseen_error)
    return app


class _BrokenInvariant:
    """Carries a broken invariant from a request to the server's task."""

    def __init__(self):
        self.error = None
        self.found = trio.Event()

    def send(self, error):
        """Tell of a broken invariant; the first one counts."""
        self.error = self.error or error
        self.found.set()

    async def wait_raise(self):
        """Wait for a broken invariant and raise it."""
        await self.found.wait()
        raise self.error


def _make_config(address, grace_s):
    config = Config()
    config.bind = [address]
    config.backlog = BACKLOG
    # Log lines are written by log_event alone.
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = grace_s
    # Hypercorn otherwise closes a connection after 1,000 requests.
    config.keep_alive_max_requests = sys.maxsize
    return config


async def serve_app(
    app,
    address,
    stop=None,
    grace_s=GRACE_S,
    *,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serve an application until told to stop or cancelled.

    No signal handler is installed.

    Parameters
    ----------
    app : QuartTrio
        Application.
    address : Address
        Where to listen; port 0 takes a free one.
    stop : trio.Event or None
        When set, no new request is accepted and those in flight may finish.
    grace_s : float
        Time that they get, in seconds.
    task_status : trio.TaskStatus
        Told the bound address once listening.

    Raises
    ------
    InvariantError
        If a request found a broken invariant.
    """
    trigger = trio.sleep_forever if stop is None else stop.wait
    config = _make_config(address, grace_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(app.extensions[_BROKEN].wait_raise)
        async with trio.open_nursery() as server:
            binds = await server.start(
                partial(serve, app, config, shutdown_trigger=trigger)
            )
            task_status.started(Address(binds[0].removeprefix('http://')))
        nursery.cancel_scope.cancel()
