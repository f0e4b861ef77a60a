"""Errors about settings files."""

from snipelead.exceptions import SnipeleadError

__all__ = ['SettingsError']


class SettingsError(SnipeleadError):
    """A settings file cannot be read or holds a value not allowed."""

    code = 'SL5002'
