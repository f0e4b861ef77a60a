"""Release notes, which operators submit to create a release."""

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

__all__ = ['Change', 'ReleaseNote', 'load_note']

MAX_NOTE_ID_CHARS = 200
# Largest integer that JSON parsers using doubles represent exactly.
MAX_RELEASE_NUMBER = 2**53 - 1


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
        raise InvalidNoteError(f'invalid release note: {error}') from error
    _check_note(note)
    return note


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
