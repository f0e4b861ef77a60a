"""HTTP interface for operators: submit release notes, read them back."""

from quart import request
import trio

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.operators.events import NOTE_ANSWERED
from snipelead.operators.exceptions import NotProvedCurrentError
from snipelead.operators.exceptions import ReleaseNotFoundError
from snipelead.operators.messages import NoteOutcome
from snipelead.operators.messages import ReleaseList
from snipelead.operators.messages import SubmitAnswer
from snipelead.operators.status import make_fleet_status
from snipelead.operators.status import make_release_status
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.note import load_note
from snipelead.types import NoteId
from snipelead.types import OutcomeKind
from snipelead.utils.exceptions import HttpRequestError
from snipelead.utils.http import error_response
from snipelead.utils.http import json_response
from snipelead.utils.http import make_quart
from snipelead.utils.http import metrics_response
from snipelead.utils.http import retry_headers
from snipelead.voters.exceptions import VoterBusyError

__all__ = ['make_app', 'submit_note']

MAX_NOTE_BYTES = 8 * 1024 * 1024
RETRY_AFTER_MS = 1_000
LISTED_NOTES = 100

# Raised only when the note was provably not appended.
_NO_EFFECT = (NoControlError, NoQuorumError, VoterBusyError)
_STATUS_BY_OUTCOME = {OutcomeKind.ACCEPTED: 200, OutcomeKind.REFUSED: 409}


def _failed(outcome, note, error):
    return SubmitAnswer(
        outcome,
        note,
        code=error.code,
        message=error.message,
        details=error.details,
        retry_after_ms=error.retry_after_ms or RETRY_AFTER_MS,
    )


async def submit_note(source, note):
    """Submit a note and describe its outcome truthfully.

    Parameters
    ----------
    source : ReleaseSource
        Where the note goes.
    note : ReleaseNote
        The note.

    Returns
    -------
    SubmitAnswer
    """
    try:
        reply = await source.submit(note)
    except InvariantError:
        raise
    except _NO_EFFECT as error:
        return _failed(OutcomeKind.REFUSED, note.note, error)
    except SnipeleadError as error:
        # Any other failure may have come after the note was appended.
        return _failed(OutcomeKind.UNKNOWN, note.note, error)
    return SubmitAnswer(
        reply.outcome,
        note.note,
        reply.held,
        reply.code,
        reply.message,
        reply.details,
    )


def _submit_status(answer):
    if answer.retry_after_ms is not None:
        return 503
    return _STATUS_BY_OUTCOME.get(answer.outcome, 503)


async def _answer_submit(source):
    try:
        text = await request.get_data()
        # Parsing a large note takes longer than an election timeout.
        note = await trio.to_thread.run_sync(load_note, text)
    except InvalidNoteError as error:
        answer = SubmitAnswer(
            OutcomeKind.REFUSED,
            NoteId(''),
            code=error.code,
            message=error.message,
            details=error.details,
        )
    else:
        answer = await submit_note(source, note)
    log_event(
        NOTE_ANSWERED,
        note=answer.note,
        outcome=answer.outcome.value,
        code=answer.code,
    )
    headers = retry_headers(answer.retry_after_ms)
    return json_response(answer, _submit_status(answer), headers)


def _read_limit():
    given = request.args.get('limit', str(LISTED_NOTES))
    if not given.isdecimal() or int(given) == 0:
        raise HttpRequestError(f'limit must be a number above 0, got {given}')
    return int(given)


async def _list_releases(source, limit):
    certified = await source.certify()
    outcomes = await source.outcomes()
    newest = list(reversed(outcomes.items()))[:limit]
    notes = tuple(
        NoteOutcome(note, reply.outcome, reply.held, reply.code, reply.message)
        for note, reply in newest
    )
    return ReleaseList(source.current.held, certified, len(outcomes), notes)


def _find_release(number, current, outcomes):
    for note, reply in outcomes.items():
        if reply.held is not None and reply.held.number == number:
            return reply.held, note
    if number == current.number:
        return current, None
    raise ReleaseNotFoundError(
        f'no release {number} is remembered; the current one is'
        f' {current.number}',
        current=current.number,
    )


async def _show_release(service, source, number):
    certified = await source.certify()
    outcomes = await source.outcomes()
    current = source.current.held
    if number > current.number and not certified:
        raise NotProvedCurrentError(
            f'this control knows of no release {number} but cannot prove'
            ' that it is current',
            retry_after_ms=RETRY_AFTER_MS,
        )
    held, note = _find_release(number, current, outcomes)
    replies = await service.fleet()
    peers = service.settings.peers
    return make_release_status(held, note, current, certified, peers, replies)


def make_app(service, source, metrics=None):
    """Make the operators' application.

    Parameters
    ----------
    service : ControlService
        Gives the controls' views of the fleet by ``fleet()`` and the list of
        controls by ``settings.peers``.
    source : ReleaseSource
        Gives and takes releases.
    metrics : ControlMetrics or None
        Shown at ``/metrics``.

    Returns
    -------
    QuartTrio
    """
    app = make_quart(__name__, MAX_NOTE_BYTES)

    @app.post('/v1/releases')
    async def submit():
        return await _answer_submit(source)

    @app.get('/v1/releases')
    async def list_releases():
        return json_response(await _list_releases(source, _read_limit()))

    @app.get('/v1/releases/<int:number>')
    async def show(number):
        return json_response(await _show_release(service, source, number))

    @app.get('/v1/fleet')
    async def fleet():
        replies = await service.fleet()
        peers = service.settings.peers
        return json_response(make_fleet_status(peers, replies))

    @app.get('/metrics')
    async def show_metrics():
        return metrics_response(metrics)

    @app.errorhandler(ReleaseNotFoundError)
    async def answer_not_found(error):
        return error_response(error, 404)

    return app
