"""Errors raised for settings files."""

from snipelead.exceptions import SnipeleadError

__all__ = ['SettingsError']


class SettingsError(SnipeleadError):
    """A settings file cannot be read or contains an invalid value."""

    code = 'SL5002'
