"""Reading and checking of settings files."""

from pathlib import Path

import msgspec

from snipelead.exceptions import InvalidParameterError
from snipelead.settings.constraints import check_settings
from snipelead.settings.exceptions import SettingsError
from snipelead.settings.problems import check_keys
from snipelead.settings.problems import describe_mismatch
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import Settings
from snipelead.settings.schema import TargetSettings
from snipelead.utils.documents import load_yaml
from snipelead.utils.exceptions import DocumentError

__all__ = ['load_settings', 'parse_settings']

_TYPE_BY_KIND = {
    settings_type.__struct_config__.tag: settings_type
    for settings_type in (ControlSettings, NodeSettings, TargetSettings)
}


def _read_document(path):
    try:
        return load_yaml(Path(path).read_bytes())
    except DocumentError as error:
        raise SettingsError(f'{path}: {error.message}', file=path) from error
    except OSError as error:
        raise SettingsError(f'{path}: {error}', file=path) from error


def _find_type(path, document, expected):
    if not isinstance(document, dict):
        raise SettingsError(
            f'{path}: settings must be a mapping, got'
            f' {type(document).__name__}',
            file=path,
        )
    kind = document.get('kind')
    found = _TYPE_BY_KIND.get(kind) if isinstance(kind, str) else None
    if found is not None and expected in (None, found):
        return found
    kinds = _TYPE_BY_KIND if expected is None else [_tag(expected)]
    allowed = ' or '.join(repr(kind) for kind in kinds)
    raise SettingsError(
        f"{path}: key 'kind' must be {allowed}, got {kind!r}",
        file=path,
        key='kind',
        got=repr(kind),
        allowed=allowed,
    )


def _tag(settings_type):
    return settings_type.__struct_config__.tag


def parse_settings(path, document, settings_type=None):
    """Check a settings document that was already read.

    Parameters
    ----------
    path : str or Path
        File shown in errors.
    document : object
        What the YAML file holds.
    settings_type : type or None
        The only kind of settings allowed, or None for any.

    Returns
    -------
    ControlSettings, NodeSettings or TargetSettings

    Raises
    ------
    SettingsError
        Naming the file, the key, the value got and the values allowed.
    """
    found = _find_type(path, document, settings_type)
    check_keys(path, document, found)
    try:
        settings = msgspec.convert(document, Settings)
    except msgspec.ValidationError as error:
        raise describe_mismatch(path, document, found, error) from error
    try:
        check_settings(settings)
    except InvalidParameterError as error:
        details = {'file': path, **error.details}
        details['key'] = details.pop('parameter')
        raise SettingsError(f'{path}: {error.message}', **details) from error
    return settings


def load_settings(path, settings_type=None):
    """Read a settings file; touches nothing else.

    Parameters
    ----------
    path : str or Path
        YAML file whose ``kind`` is ``control``, ``node`` or ``target``.
    settings_type : type or None
        The only kind of settings allowed, or None for any.

    Returns
    -------
    ControlSettings, NodeSettings or TargetSettings

    Raises
    ------
    SettingsError
        Naming the file, the key, the value got and the values allowed.
    """
    return parse_settings(path, _read_document(path), settings_type)
