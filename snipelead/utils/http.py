"""Quart applications served by Hypercorn in a trio task."""

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
from snipelead.utils.decoding import decode_json
from snipelead.utils.events import HTTP_REQUEST_FAILED
from snipelead.utils.exceptions import HttpRequestError
from snipelead.utils.exceptions import HttpServerError

__all__ = [
    'error_response',
    'json_response',
    'make_http_app',
    'make_retry_headers',
    'metrics_response',
    'read_json',
    'serve_app',
]

LISTEN_BACKLOG = 512
DEFAULT_GRACE_PERIOD_S = 3.0
# A connection whose peer sends nothing for this time is closed, even while a
# request is handled; requests take a few seconds at most.
READ_TIMEOUT_S = 60
_MS_PER_S = 1_000
_INVARIANT_MONITOR_KEY = 'snipelead-broken-invariant'


def json_response(value, status=200, headers=None):
    """Create a JSON response.

    Parameters
    ----------
    value : Struct or object
        Value that msgspec can encode.
    status : int
        HTTP status code.
    headers : dict of str to str or None
        Additional headers.

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


def make_retry_headers(retry_after_ms):
    """Return the headers that tell a client when to retry.

    Returns no headers if ``retry_after_ms`` is None.
    """
    if retry_after_ms is None:
        return {}
    return {
        'Retry-After': str(ceil(retry_after_ms / _MS_PER_S)),
        'X-Retry-After-Ms': str(retry_after_ms),
    }


def error_response(error, status):
    """Create the response for a coded error."""
    return json_response(
        error.to_info(),
        status,
        {'X-Snipelead-Code': error.code}
        | make_retry_headers(error.retry_after_ms),
    )


def metrics_response(metrics):
    """Create the response with the metrics, or an empty one if None."""
    if metrics is None:
        return Response(b'', mimetype='text/plain')
    body, headers = metrics.render()
    return Response(body, headers=headers)


async def read_json(message_type):
    """Decode the JSON body of the current request.

    Parameters
    ----------
    message_type : type
        Type that the body must match.

    Returns
    -------
    object
        Instance of ``message_type``.

    Raises
    ------
    HttpRequestError
        If the body is not valid JSON or does not match the type.
    """
    body = await request.get_data()
    try:
        return decode_json(body, type=message_type)
    except msgspec.DecodeError as error:
        raise HttpRequestError(f'invalid request body: {error}') from error


async def _handle_http_error(error):
    coded_error = HttpRequestError(f'{error.name}: {error.description}')
    return error_response(coded_error, error.code)


async def _handle_coded_error(error):
    match error:
        case InvariantError():
            # The process must stop, so serve_app raises this error.
            current_app.extensions[_INVARIANT_MONITOR_KEY].report(error)
            return error_response(error, 500)
        case HttpRequestError() | InvalidParameterError():
            return error_response(error, 400)
        case _:
            return error_response(error, 503)


async def _handle_unexpected_error(error):
    log_event(HTTP_REQUEST_FAILED, path=request.path, error=repr(error))
    return error_response(HttpServerError(repr(error)), 500)


def make_http_app(name, max_body_bytes):
    """Create an application that responds to errors with coded JSON.

    Parameters
    ----------
    name : str
        Import name of the module that adds the routes.
    max_body_bytes : int
        Maximum size of a request body.

    Returns
    -------
    QuartTrio
    """
    app = QuartTrio(name)
    app.config['MAX_CONTENT_LENGTH'] = max_body_bytes
    app.extensions[_INVARIANT_MONITOR_KEY] = _InvariantMonitor()
    app.register_error_handler(HTTPException, _handle_http_error)
    app.register_error_handler(SnipeleadError, _handle_coded_error)
    app.register_error_handler(Exception, _handle_unexpected_error)
    return app


class _InvariantMonitor:
    """Passes an InvariantError from a request handler to the server task."""

    def __init__(self):
        self.error = None
        self.reported = trio.Event()

    def report(self, error):
        """Report a broken invariant; only the first error is kept."""
        self.error = self.error or error
        self.reported.set()

    async def wait_and_raise(self):
        """Wait until a broken invariant is reported and raise its error."""
        await self.reported.wait()
        raise self.error


def _make_config(address, grace_period_s):
    config = Config()
    config.bind = [address]
    config.backlog = LISTEN_BACKLOG
    # All log lines are written by log_event instead.
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.read_timeout = READ_TIMEOUT_S
    config.graceful_timeout = grace_period_s
    # By default, Hypercorn closes a connection after 1,000 requests.
    config.keep_alive_max_requests = sys.maxsize
    return config


async def serve_app(
    app,
    address,
    stop=None,
    grace_period_s=DEFAULT_GRACE_PERIOD_S,
    *,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serve an application until it is stopped or cancelled.

    Does not install signal handlers.

    Parameters
    ----------
    app : QuartTrio
        Application made by :func:`make_http_app`.
    address : Address
        Address to listen on; port 0 selects a free port.
    stop : trio.Event or None
        When set, no new requests are accepted and requests in progress may
        finish.
    grace_period_s : float
        Time for requests in progress to finish, in seconds.
    task_status : trio.TaskStatus
        Receives the bound address once the server listens.

    Raises
    ------
    InvariantError
        If a request handler detected a broken invariant.
    """
    shutdown_trigger = trio.sleep_forever if stop is None else stop.wait
    config = _make_config(address, grace_period_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            app.extensions[_INVARIANT_MONITOR_KEY].wait_and_raise
        )
        async with trio.open_nursery() as server_nursery:
            bound_urls = await server_nursery.start(
                partial(serve, app, config, shutdown_trigger=shutdown_trigger)
            )
            task_status.started(Address(bound_urls[0].removeprefix('http://')))
        nursery.cancel_scope.cancel()
