"""Options that a request passes to an emulated target."""

from math import inf
from urllib.parse import parse_qs

from msgspec import Struct

from snipelead.emulator.exceptions import InvalidRequestError
from snipelead.exceptions import InvalidParameterError
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Interval

__all__ = ['RequestOptions', 'read_options']

MAX_FILLER_BYTES = 64 * 1024 * 1024
_CONSTRAINTS = {
    'service_ms': [Interval(float, 0.0), None],
    'filler_bytes': [Interval(int, 0, MAX_FILLER_BYTES), None],
    'deadline_ms': [Interval(float, 0.0)],
}


class RequestOptions(Struct, frozen=True):
    """Options of one request to an emulated target.

    Parameters
    ----------
    service_ms : float or None
        Service time in milliseconds, used in place of a random one.
    filler_bytes : int or None
        Length of the filler in the response body.
    deadline_ms : float
        Time left until the deadline, in milliseconds.
    """

    service_ms: float | None = None
    filler_bytes: int | None = None
    deadline_ms: float = inf


def read_options(request):
    """Parse the options in the query string and headers of a request.

    Parameters
    ----------
    request : HttpRequest
        The request; the query parameters ``ms`` and ``bytes`` and the header
        ``X-Deadline-Ms`` are used.

    Returns
    -------
    RequestOptions

    Raises
    ------
    InvalidRequestError
        If a value is not a number or out of range.
    """
    query = parse_qs(request.url.partition('?')[2])
    try:
        options = RequestOptions(
            float(query['ms'][0]) if 'ms' in query else None,
            int(query['bytes'][0]) if 'bytes' in query else None,
            float(request.headers.get('x-deadline-ms', inf)),
        )
        values = {name: getattr(options, name) for name in _CONSTRAINTS}
        check_parameters('request', values, _CONSTRAINTS)
    except InvalidParameterError as error:
        raise InvalidRequestError(error.message) from error
    except ValueError as error:
        raise InvalidRequestError(str(error)) from error
    return options
