"""Releases: data model, release notes, validation, digests and deltas."""

from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.note import Change
from snipelead.releases.note import load_note
from snipelead.releases.note import ReleaseNote

__all__ = [
    'Change',
    'Release',
    'ReleaseNote',
    'Route',
    'Service',
    'Setting',
    'load_note',
]
