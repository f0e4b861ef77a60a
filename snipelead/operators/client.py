"""Client of the operators' interface, with failover among controls."""

import httpx
import msgspec
import trio

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.exceptions import SnipeleadError
from snipelead.operators.exceptions import ReleaseNotFoundError
from snipelead.operators.exceptions import UnexpectedAnswerError
from snipelead.operators.messages import FleetReport
from snipelead.operators.messages import ReleaseList
from snipelead.operators.messages import ReleaseStatus
from snipelead.operators.messages import SubmitAnswer
from snipelead.types import OutcomeKind

__all__ = ['UNKNOWN_ADVICE', 'OperatorClient']

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 5.0
ROUNDS = 2
LISTED_NOTES = 100
RETRY_PAUSE_S = 0.5
# The next control is asked when one has not answered a read for this long.
STAGGER_S = 0.5

UNKNOWN_ADVICE = 'unknown: read it back or resend the same note'
# Answers to requests that were not even read as a note.
_NOT_TAKEN = (400, 404, 405, 413)
# Failures before a connection exists: nothing can have been received.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class _ReadRace:
    """Best answer of several controls to one read.

    Attributes
    ----------
    scope : trio.CancelScope or None
        Cancelled once the answer is final.
    answer : ReleaseStatus, ReleaseList, FleetReport or None
        Proved answer, or else the first one.
    not_found, failure : SnipeleadError or None
        Proof that there is no such release; another error.
    """

    def __init__(self):
        self.scope = None
        self.answer = None
        self.not_found = None
        self.failure = None

    def take(self, answer):
        """Take in an answer; a proved one is final."""
        if answer.certified:
            self.answer = answer
            self.scope.cancel()
        elif self.answer is None:
            self.answer = answer

    def refuse(self, error):
        """Take in the proof that there is no such release."""
        self.not_found = error
        self.scope.cancel()


class OperatorClient:
    """Talks to the controls on behalf of an operator.

    A context manager that closes its connections.

    Parameters
    ----------
    addresses : sequence of Address
        Operator addresses of the controls, tried in this order.
    timeout_s : float
        Time that one control gets to answer, in seconds.
    rounds : int
        How often the list of addresses is gone through.
    transport : httpx.AsyncBaseTransport or None
        Stand-in for the network, in tests.
    """

    def __init__(
        self,
        addresses,
        timeout_s=ANSWER_TIMEOUT_S,
        rounds=ROUNDS,
        transport=None,
    ):
        self.addresses = tuple(addresses)
        self.timeout_s = timeout_s
        self.rounds = rounds
        self.transport = transport
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        self.http = httpx.AsyncClient(
            timeout=timeout, transport=transport, trust_env=False
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.http.aclose()

    async def submit(self, text, note_id):
        """Submit a release note until its outcome is known.

        When an answer is lost, the same note is sent to the next control;
        the controls apply it once and give the first outcome again.

        Parameters
        ----------
        text : str
            The note as YAML.
        note_id : NoteId
            Its id.

        Returns
        -------
        SubmitAnswer
            UNKNOWN if some answer was lost and none has settled it.

        Raises
        ------
        NoControlError
            If no control could be connected to; nothing took effect.
        """
        refusal = None
        unknown = None
        for address in self.addresses * self.rounds:
            try:
                answer = await self._post_note(address, text)
            except _NOT_SENT:
                continue
            except (httpx.HTTPError, UnexpectedAnswerError):
                unknown = unknown or _lost_answer(note_id, address)
                continue
            except SnipeleadError as error:
                # Says nothing of an earlier attempt elsewhere.
                refusal = refusal or _refusal(note_id, error)
                continue
            if answer.retry_after_ms is None:
                return answer
            if answer.outcome is OutcomeKind.UNKNOWN:
                unknown = answer
            refusal = answer
            await trio.sleep(RETRY_PAUSE_S)
        if unknown is not None:
            return unknown
        if refusal is None:
            raise self._no_control()
        return refusal

    async def show_release(self, number):
        """Read back one release; returns a :class:`ReleaseStatus`."""
        return await self._read(f'/v1/releases/{number}', ReleaseStatus)

    async def list_releases(self, limit=LISTED_NOTES):
        """Read back the newest notes; returns a :class:`ReleaseList`."""
        return await self._read(f'/v1/releases?limit={limit}', ReleaseList)

    async def show_fleet(self):
        """Read back the fleet; returns a :class:`FleetReport`."""
        return await self._read('/v1/fleet', FleetReport)

    async def _post_note(self, address, text):
        response = await self.http.post(
            f'http://{address}/v1/releases',
            content=text.encode(),
            headers={'Content-Type': 'application/yaml'},
        )
        if response.status_code in _NOT_TAKEN:
            raise error_from_info(_decode(address, response, ErrorInfo))
        return _decode(address, response, SubmitAnswer)

    async def _read(self, path, answer_type):
        """Read from a control that proves itself current.

        A control that does not answer soon does not hold up the others. An
        answer that is not proved is returned when there is no better.
        """
        for _ in range(self.rounds):
            race = _ReadRace()
            await self._ask_in_turn(race, path, answer_type)
            if race.not_found is not None:
                raise race.not_found
            if race.answer is not None:
                return race.answer
        raise race.failure or self._no_control()

    async def _ask_in_turn(self, race, path, answer_type):
        async with trio.open_nursery() as nursery:
            race.scope = nursery.cancel_scope
            for address in self.addresses:
                finished = trio.Event()
                nursery.start_soon(
                    self._ask, race, address, path, answer_type, finished
                )
                with trio.move_on_after(STAGGER_S):
                    await finished.wait()

    async def _ask(self, race, address, path, answer_type, finished):
        try:
            response = await self.http.get(f'http://{address}{path}')
            race.take(_open_answer(address, response, answer_type))
        except ReleaseNotFoundError as error:
            race.refuse(error)
        except SnipeleadError as error:
            race.failure = error
        except httpx.HTTPError:
            pass
        finished.set()

    def _no_control(self):
        return NoControlError(
            'no control answered at ' + ', '.join(self.addresses)
        )


def _refusal(note_id, error):
    return SubmitAnswer(
        OutcomeKind.REFUSED, note_id, code=error.code, message=error.message
    )


def _lost_answer(note_id, address):
    return SubmitAnswer(
        OutcomeKind.UNKNOWN,
        note_id,
        code=OutcomeUnknownError.code,
        message=f'the answer of {address} was lost',
    )


def _decode(address, response, answer_type):
    try:
        return msgspec.json.decode(response.content, type=answer_type)
    except msgspec.DecodeError as error:
        raise UnexpectedAnswerError(
            f'{address} answered {response.status_code} with an unreadable'
            f' body: {error}'
        ) from error


def _open_answer(address, response, answer_type):
    if response.status_code == 200:
        return _decode(address, response, answer_type)
    raise error_from_info(_decode(address, response, ErrorInfo))
