"""Release notes, which operators submit to create a release."""

import re
from typing import Literal

import msgspec
from msgspec import Struct

from snipelead.releases.document import Customer
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.types import NoteId
from snipelead.types import ReleaseNumber
from snipelead.utils.documents import parse_yaml
from snipelead.utils.exceptions import DocumentError

__all__ = ['Change', 'ReleaseNote', 'find_note_errors', 'load_note']

MAX_NOTE_ID_CHARS = 200
# Largest integer that JSON parsers using doubles represent exactly.
MAX_RELEASE_NUMBER = 2**53 - 1
# An API key that is written in place of a field must not be quoted.
_UNKNOWN_CUSTOMER_FIELD = re.compile(
    r'unknown field `.*`(?= - at `\S*\.customer`$)', re.DOTALL
)


class Change(
    Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Action on exactly one service, route, setting or customer.

    Parameters
    ----------
    action : {'add', 'change', 'withdraw'}
        Action; ``change`` replaces an existing entry, ``withdraw`` removes
        it.
    service, route, setting, customer : Struct, str or None
        The complete new entry, or its name for ``withdraw``.
    """

    action: Literal['add', 'change', 'withdraw']
    service: Service | str | None = None
    route: Route | str | None = None
    setting: Setting | str | None = None
    customer: Customer | str | None = None


class ReleaseNote(Struct, frozen=True, forbid_unknown_fields=True):
    """Changes that create a release from the current release.

    Parameters
    ----------
    release : ReleaseNumber
        Number of the new release.
    note : NoteId
        Id of the submission, chosen by the operator; a resubmission has the
        same id.
    changes : tuple of Change
        Changes to the current release, applied completely or not at all.
    """

    release: ReleaseNumber
    note: NoteId
    changes: tuple[Change, ...]


def load_note(text):
    """Parse a release note from YAML.

    Parameters
    ----------
    text : str or bytes
        One YAML document.

    Returns
    -------
    ReleaseNote

    Raises
    ------
    InvalidNoteError
        If the text is not strict YAML or not a valid release note.
    """
    try:
        note = msgspec.convert(parse_yaml(text), ReleaseNote)
    except DocumentError as error:
        reason = error.message
        raise InvalidNoteError(f'invalid release note: {reason}') from error
    except msgspec.ValidationError as error:
        reason = _describe_mismatch(error)
        raise InvalidNoteError(f'invalid release note: {reason}') from error
    _check_note(note)
    return note


def _describe_mismatch(error):
    return _UNKNOWN_CUSTOMER_FIELD.sub('unknown field', str(error))


def find_note_errors(text):
    """Return all errors for which a text is not a valid release note.

    :func:`load_note` raises only the first one. The fields of the note and
    each of its changes are converted separately here.

    Parameters
    ----------
    text : str or bytes
        One YAML document.

    Returns
    -------
    list of InvalidNoteError
        Empty if the text is a valid release note.
    """
    try:
        load_note(text)
    except InvalidNoteError as error:
        first_error = error
    else:
        return []
    try:
        document = parse_yaml(text)
    except DocumentError:
        return [first_error]
    match document:
        case {'changes': [*changes]}:
            errors = _find_part_errors(document, changes)
        case _:
            errors = []
    return errors or [first_error]


def _find_part_errors(document, changes):
    errors = []
    header = document | {'changes': []}
    parts = [('', header, ReleaseNote)]
    parts += [
        (f'change {number}: ', change, Change)
        for number, change in enumerate(changes, 1)
    ]
    for label, part, part_type in parts:
        try:
            value = msgspec.convert(part, part_type)
            if part is header:
                _check_note(value)
        except msgspec.ValidationError as error:
            reason = f'{label}{_describe_mismatch(error)}'
            errors.append(InvalidNoteError(f'invalid release note: {reason}'))
        except InvalidNoteError as error:
            errors.append(error)
    return errors


def _check_note(note):
    """Check the limits on the note id, the release number and all integers.

    The replicated log identifies a note by its id and stores it as msgpack,
    whose integers have at most 64 bits.
    """
    if not 0 < len(note.note) <= MAX_NOTE_ID_CHARS:
        raise InvalidNoteError(
            f'invalid release note: note must be 1 to {MAX_NOTE_ID_CHARS}'
            f' characters long, got {len(note.note)}'
        )
    if not 0 < note.release <= MAX_RELEASE_NUMBER:
        raise InvalidNoteError(
            f'invalid release note: release must be 1 to {MAX_RELEASE_NUMBER},'
            f' got {note.release}'
        )
    try:
        msgspec.msgpack.encode(note)
    except OverflowError as error:
        raise InvalidNoteError(
            'invalid release note: an integer is outside the 64-bit range'
        ) from error
