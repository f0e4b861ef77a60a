"""Release notes: what operators submit."""

from typing import Literal

import msgspec
from msgspec import Struct

from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.types import NoteId
from snipelead.types import ReleaseNumber
from snipelead.utils.documents import load_yaml
from snipelead.utils.exceptions import DocumentError

__all__ = ['Change', 'ReleaseNote', 'load_note']

MAX_NOTE_ID_CHARS = 200
# Largest integer that every JSON reader keeps exactly.
MAX_RELEASE = 2**53 - 1


class Change(
    Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """One change: an action on exactly one service, route or setting.

    Parameters
    ----------
    action : {'add', 'change', 'withdraw'}
        What is done.
    service, route, setting : Service, Route, Setting, str or None
        The whole new value, or for ``withdraw`` the name.
    """

    action: Literal['add', 'change', 'withdraw']
    service: Service | str | None = None
    route: Route | str | None = None
    setting: Setting | str | None = None


class ReleaseNote(Struct, frozen=True, forbid_unknown_fields=True):
    """A release note.

    Parameters
    ----------
    release : ReleaseNumber
        Number of the release that the note creates.
    note : NoteId
        The operator's id of this submission; a resend carries the same.
    changes : tuple of Change
        Changes against the current release, applied together or not at all.
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
        If the text cannot be read strictly as YAML or does not describe a
        release note.
    """
    try:
        note = msgspec.convert(load_yaml(text), ReleaseNote)
    except DocumentError as error:
        reason = error.message
        raise InvalidNoteError(f'not a release note: {reason}') from error
    except msgspec.ValidationError as error:
        raise InvalidNoteError(f'not a release note: {error}') from error
    _check_note(note)
    return note


def _check_note(note):
    """Refuse what the log could not hold or tell apart."""
    if not 0 < len(note.note) <= MAX_NOTE_ID_CHARS:
        raise InvalidNoteError(
            f'not a release note: note must be 1 to {MAX_NOTE_ID_CHARS}'
            f' characters, got {len(note.note)}'
        )
    if not 0 < note.release <= MAX_RELEASE:
        raise InvalidNoteError(
            f'not a release note: release must be 1 to {MAX_RELEASE},'
            f' got {note.release}'
        )
    try:
        msgspec.msgpack.encode(note)
    except OverflowError as error:
        raise InvalidNoteError(
            'not a release note: a number is too large'
        ) from error
