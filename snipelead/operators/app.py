"""HTTP API for operators: submits release notes and shows their status."""

import os

from quart import request
import trio

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.operators.events import NOTE_ANSWERED
from snipelead.operators.exceptions import NotUpToDateError
from snipelead.operators.exceptions import ReleaseNotFoundError
from snipelead.operators.messages import NoteOutcome
from snipelead.operators.messages import ReleaseContents
from snipelead.operators.messages import ReleaseList
from snipelead.operators.messages import SubmissionResult
from snipelead.operators.status import make_fleet_report
from snipelead.operators.status import make_release_status
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.masking import mask_customer
from snipelead.releases.note import load_note
from snipelead.types import NoteId
from snipelead.types import OutcomeKind
from snipelead.utils.exceptions import HttpRequestError
from snipelead.utils.http import error_response
from snipelead.utils.http import json_response
from snipelead.utils.http import make_http_app
from snipelead.utils.http import make_retry_headers
from snipelead.utils.http import metrics_response
from snipelead.voters.exceptions import VoterBusyError

__all__ = ['make_operator_app', 'submit_note']

MAX_NOTE_BYTES = 8 * 1024 * 1024
DEFAULT_RETRY_AFTER_MS = 1_000
DEFAULT_LIST_LIMIT = 100
SALT_BYTES = 16

# Raised only if the note was certainly not appended to the log.
_NOT_APPENDED_ERRORS = (NoControlError, NoQuorumError, VoterBusyError)
_STATUS_CODE_BY_OUTCOME = {OutcomeKind.ACCEPTED: 200, OutcomeKind.REFUSED: 409}


def _make_failure(outcome, note_id, error):
    return SubmissionResult(
        outcome,
        note_id,
        code=error.code,
        message=error.message,
        details=error.details,
        retry_after_ms=error.retry_after_ms or DEFAULT_RETRY_AFTER_MS,
    )


async def submit_note(source, note):
    """Submit a release note and return its outcome.

    Parameters
    ----------
    source : ReleaseSource
        Source of releases to which the note is submitted.
    note : ReleaseNote
        Note to submit.

    Returns
    -------
    SubmissionResult
        With the outcome ``REFUSED`` only if the note certainly took no
        effect, and ``UNKNOWN`` after any other failure.
    """
    try:
        reply = await source.submit(note)
    except InvariantError:
        raise
    except _NOT_APPENDED_ERRORS as error:
        return _make_failure(OutcomeKind.REFUSED, note.note, error)
    except SnipeleadError as error:
        # Any other failure may have occurred after the note was appended.
        return _make_failure(OutcomeKind.UNKNOWN, note.note, error)
    return SubmissionResult(
        reply.outcome,
        note.note,
        reply.held,
        reply.code,
        reply.message,
        reply.details,
    )


def _get_status_code(result):
    if result.retry_after_ms is not None:
        return 503
    return _STATUS_CODE_BY_OUTCOME.get(result.outcome, 503)


async def _handle_submission(source):
    try:
        body = await request.get_data()
        # Parsing a large note takes longer than an election timeout, so it
        # must not block the event loop.
        note = await trio.to_thread.run_sync(load_note, body)
    except InvalidNoteError as error:
        result = SubmissionResult(
            OutcomeKind.REFUSED,
            NoteId(''),
            code=error.code,
            message=error.message,
            details=error.details,
        )
    else:
        result = await submit_note(source, note)
    log_event(
        NOTE_ANSWERED,
        note=result.note,
        outcome=result.outcome.value,
        code=result.code,
    )
    headers = make_retry_headers(result.retry_after_ms)
    return json_response(result, _get_status_code(result), headers)


def _parse_limit():
    raw_limit = request.args.get('limit', str(DEFAULT_LIST_LIMIT))
    if not raw_limit.isdecimal() or int(raw_limit) == 0:
        raise HttpRequestError(
            f'limit must be an integer above 0, got {raw_limit}'
        )
    return int(raw_limit)


async def _list_releases(source, limit):
    certified = await source.certify()
    outcomes = await source.get_outcomes()
    newest = list(reversed(outcomes.items()))[:limit]
    notes = tuple(
        NoteOutcome(
            note_id, reply.outcome, reply.held, reply.code, reply.message
        )
        for note_id, reply in newest
    )
    return ReleaseList(
        source.current.release_id, certified, len(outcomes), notes
    )


def _make_contents(release, certified):
    salt = os.urandom(SALT_BYTES)
    return ReleaseContents(
        release.release_id,
        certified,
        salt.hex(),
        tuple(release.services.values()),
        tuple(release.routes.values()),
        tuple(release.settings.values()),
        tuple(mask_customer(c, salt) for c in release.customers.values()),
    )


async def _show_contents(source):
    certified = await source.certify()
    release = source.current
    # Masking the keys of a large release must not block the event loop.
    return await trio.to_thread.run_sync(_make_contents, release, certified)


def _find_release(number, current, outcomes):
    for note_id, reply in outcomes.items():
        if reply.held is not None and reply.held.number == number:
            return reply.held, note_id
    if number == current.number:
        return current, None
    raise ReleaseNotFoundError(
        f'release {number} does not exist or is no longer retained; the'
        f' current release is {current.number}',
        current=current.number,
    )


async def _show_release(service, source, number):
    certified = await source.certify()
    outcomes = await source.get_outcomes()
    current = source.current.release_id
    if number > current.number and not certified:
        raise NotUpToDateError(
            f'this control does not know release {number}, but no majority'
            ' confirmed that it is up to date',
            retry_after_ms=DEFAULT_RETRY_AFTER_MS,
        )
    release, note_id = _find_release(number, current, outcomes)
    replies = await service.collect_fleet_replies()
    peers = service.settings.peers
    return make_release_status(
        release, note_id, current, certified, peers, replies
    )


def make_operator_app(service, source, metrics=None):
    """Create the application that serves the operator API.

    Parameters
    ----------
    service : ControlService
        Control whose ``collect_fleet_replies()`` returns the views of all
        controls and whose ``settings.peers`` lists the controls.
    source : ReleaseSource
        Source of releases, to which notes are submitted.
    metrics : ControlMetrics or None
        Metrics shown at ``/metrics``; None for an empty page.

    Returns
    -------
    QuartTrio
    """
    app = make_http_app(__name__, MAX_NOTE_BYTES)

    @app.post('/v1/releases')
    async def submit():
        return await _handle_submission(source)

    @app.get('/v1/releases')
    async def list_releases():
        return json_response(await _list_releases(source, _parse_limit()))

    @app.get('/v1/releases/<int:number>')
    async def show_release(number):
        return json_response(await _show_release(service, source, number))

    @app.get('/v1/releases/current')
    async def show_contents():
        return json_response(await _show_contents(source))

    @app.get('/v1/fleet')
    async def show_fleet():
        replies = await service.collect_fleet_replies()
        peers = service.settings.peers
        return json_response(make_fleet_report(peers, replies))

    @app.get('/metrics')
    async def show_metrics():
        return metrics_response(metrics)

    @app.errorhandler(ReleaseNotFoundError)
    async def handle_not_found(error):
        return error_response(error, 404)

    return app
