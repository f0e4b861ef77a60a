"""Client of the operator API, with failover between controls."""

import httpx
import msgspec
import trio

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.exceptions import SnipeleadError
from snipelead.operators.exceptions import ReleaseNotFoundError
from snipelead.operators.exceptions import UnexpectedResponseError
from snipelead.operators.messages import FleetReport
from snipelead.operators.messages import ReleaseContents
from snipelead.operators.messages import ReleaseList
from snipelead.operators.messages import ReleaseStatus
from snipelead.operators.messages import SubmissionResult
from snipelead.types import OutcomeKind
from snipelead.utils.decoding import decode_json

__all__ = ['UNKNOWN_OUTCOME_ADVICE', 'OperatorClient']

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 5.0
MAX_ROUNDS = 2
DEFAULT_LIST_LIMIT = 100
RETRY_DELAY_S = 0.5
# A read is also sent to the next control if there is no response by then.
HEDGE_DELAY_S = 0.5

UNKNOWN_OUTCOME_ADVICE = 'unknown: read it back or resend the same note'
# Sent before the body is parsed as a release note, so nothing was applied.
_REJECTED_STATUS_CODES = (400, 404, 405, 413)
# Raised before a connection is established, so no data was sent.
_UNSENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class _HedgedRead:
    """Result of a read that is sent to several controls.

    Attributes
    ----------
    cancel_scope : trio.CancelScope or None
        Scope of the requests; cancelled once the result is final.
    result : ReleaseStatus, ReleaseList, FleetReport or None
        Certified result, or else the first one received.
    not_found : ReleaseNotFoundError or None
        Set if a control confirmed that the release does not exist or is no
        longer retained.
    error : SnipeleadError or None
        Last other coded error of a request.
    """

    def __init__(self):
        self.cancel_scope = None
        self.result = None
        self.not_found = None
        self.error = None

    def add_result(self, result):
        """Record a result; a certified one is final."""
        if result.certified:
            self.result = result
            self.cancel_scope.cancel()
        elif self.result is None:
            self.result = result

    def set_not_found(self, error):
        """Record that there is no such release, which is final."""
        self.not_found = error
        self.cancel_scope.cancel()


class OperatorClient:
    """Sends the requests of an operator to the controls.

    Used as a context manager, which closes the connections on exit.

    Parameters
    ----------
    addresses : sequence of Address
        Operator addresses of the controls, tried in this order.
    timeout_s : float
        Timeout for the response of one control, in seconds.
    max_rounds : int
        Number of passes over the list of addresses.
    transport : httpx.AsyncBaseTransport or None
        Replaces the network in tests.
    """

    def __init__(
        self,
        addresses,
        timeout_s=RESPONSE_TIMEOUT_S,
        max_rounds=MAX_ROUNDS,
        transport=None,
    ):
        self.addresses = tuple(addresses)
        self.timeout_s = timeout_s
        self.max_rounds = max_rounds
        self.transport = transport
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        self.http_client = httpx.AsyncClient(
            timeout=timeout, transport=transport, trust_env=False
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.http_client.aclose()

    async def submit(self, text, note_id):
        """Submit a release note, with retries until its outcome is known.

        If a response is lost, the same note is sent to the next control. This
        is safe, because the controls apply a note once and return the outcome
        of the first submission again.

        Parameters
        ----------
        text : str
            Release note as YAML.
        note_id : NoteId
            Id of the note.

        Returns
        -------
        SubmissionResult
            With the outcome ``UNKNOWN`` if a response was lost and no later
            one gave the final outcome.

        Raises
        ------
        NoControlError
            If no control could be connected to; the note took no effect.
        """
        refused = None
        unknown = None
        for address in self.addresses * self.max_rounds:
            try:
                result = await self._post_note(address, text)
            except _UNSENT_ERRORS:
                continue
            except (httpx.HTTPError, UnexpectedResponseError):
                unknown = unknown or _make_unknown_outcome(note_id, address)
                continue
            except SnipeleadError as error:
                # Does not tell the outcome of earlier attempts.
                refused = refused or _make_refusal(note_id, error)
                continue
            if result.retry_after_ms is None:
                return result
            if result.outcome is OutcomeKind.UNKNOWN:
                unknown = result
            refused = result
            await trio.sleep(RETRY_DELAY_S)
        if unknown is not None:
            return unknown
        if refused is None:
            raise self._make_no_control_error()
        return refused

    async def show_release(self, number):
        """Return the :class:`ReleaseStatus` of one release."""
        return await self._read(f'/v1/releases/{number}', ReleaseStatus)

    async def list_releases(self, limit=DEFAULT_LIST_LIMIT):
        """Return the :class:`ReleaseList` with the most recent notes."""
        return await self._read(f'/v1/releases?limit={limit}', ReleaseList)

    async def fetch_contents(self):
        """Return the :class:`ReleaseContents` of the current release."""
        return await self._read('/v1/releases/current', ReleaseContents)

    async def show_fleet(self):
        """Return the :class:`FleetReport` of the deployment."""
        return await self._read('/v1/fleet', FleetReport)

    async def _post_note(self, address, text):
        response = await self.http_client.post(
            f'http://{address}/v1/releases',
            content=text.encode(),
            headers={'Content-Type': 'application/yaml'},
        )
        if response.status_code in _REJECTED_STATUS_CODES:
            raise error_from_info(_decode_body(address, response, ErrorInfo))
        return _decode_body(address, response, SubmissionResult)

    async def _read(self, path, result_type):
        """Return a certified result if any control gives one.

        The read is hedged, so that a slow control does not delay it. A result
        that is not certified is returned if there is no certified one.
        """
        for _ in range(self.max_rounds):
            hedged_read = _HedgedRead()
            await self._query_controls(hedged_read, path, result_type)
            if hedged_read.not_found is not None:
                raise hedged_read.not_found
            if hedged_read.result is not None:
                return hedged_read.result
        raise hedged_read.error or self._make_no_control_error()

    async def _query_controls(self, hedged_read, path, result_type):
        async with trio.open_nursery() as nursery:
            hedged_read.cancel_scope = nursery.cancel_scope
            for address in self.addresses:
                finished = trio.Event()
                nursery.start_soon(
                    self._query_control,
                    hedged_read,
                    address,
                    path,
                    result_type,
                    finished,
                )
                with trio.move_on_after(HEDGE_DELAY_S):
                    await finished.wait()

    async def _query_control(
        self, hedged_read, address, path, result_type, finished
    ):
        try:
            response = await self.http_client.get(f'http://{address}{path}')
            hedged_read.add_result(
                _decode_response(address, response, result_type)
            )
        except ReleaseNotFoundError as error:
            hedged_read.set_not_found(error)
        except SnipeleadError as error:
            hedged_read.error = error
        except httpx.HTTPError:
            pass
        finished.set()

    def _make_no_control_error(self):
        return NoControlError(
            'no control responded; addresses tried: '
            + ', '.join(self.addresses)
        )


def _make_refusal(note_id, error):
    return SubmissionResult(
        OutcomeKind.REFUSED, note_id, code=error.code, message=error.message
    )


def _make_unknown_outcome(note_id, address):
    return SubmissionResult(
        OutcomeKind.UNKNOWN,
        note_id,
        code=OutcomeUnknownError.code,
        message=f'the response from {address} was lost',
    )


def _decode_body(address, response, result_type):
    try:
        return decode_json(response.content, type=result_type)
    except msgspec.DecodeError as error:
        raise UnexpectedResponseError(
            f'{address} responded with status {response.status_code} and'
            f' a body that cannot be decoded: {error}'
        ) from error


def _decode_response(address, response, result_type):
    if response.status_code == 200:
        return _decode_body(address, response, result_type)
    raise error_from_info(_decode_body(address, response, ErrorInfo))
