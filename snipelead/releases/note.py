"""Release notes: what operators submit."""

from typing import Literal

import msgspec
from msgspec import Struct
import yaml

from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.types import NoteId
from snipelead.types import ReleaseNumber

__all__ = ['Change', 'ReleaseNote', 'load_note']


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
        If the text is not YAML or does not describe a release note.
    """
    try:
        return msgspec.convert(yaml.safe_load(text), ReleaseNote)
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise InvalidNoteError(f'not a release note: {error}') from error
