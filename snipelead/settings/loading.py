"""Loading and validation of settings files."""

from pathlib import Path

import msgspec

from snipelead.exceptions import InvalidParameterError
from snipelead.settings.constraints import check_settings
from snipelead.settings.exceptions import SettingsError
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import Settings
from snipelead.settings.schema import TargetSettings
from snipelead.settings.schema_errors import check_keys
from snipelead.settings.schema_errors import make_conversion_error
from snipelead.utils.documents import parse_yaml
from snipelead.utils.exceptions import DocumentError

__all__ = ['load_settings', 'parse_settings']

_TYPE_BY_KIND = {
    settings_type.__struct_config__.tag: settings_type
    for settings_type in (ControlSettings, NodeSettings, TargetSettings)
}


def _read_document(path):
    try:
        return parse_yaml(Path(path).read_bytes())
    except DocumentError as error:
        raise SettingsError(f'{path}: {error.message}', file=path) from error
    except OSError as error:
        raise SettingsError(f'{path}: {error}', file=path) from error


def _select_type(path, document, allowed_type):
    if not isinstance(document, dict):
        raise SettingsError(
            f'{path}: settings must be a mapping, got'
            f' {type(document).__name__}',
            file=path,
        )
    kind = document.get('kind')
    selected_type = _TYPE_BY_KIND.get(kind) if isinstance(kind, str) else None
    if selected_type is not None and allowed_type in (None, selected_type):
        return selected_type
    kinds = (
        _TYPE_BY_KIND if allowed_type is None else [_get_kind(allowed_type)]
    )
    allowed = ' or '.join(repr(kind) for kind in kinds)
    raise SettingsError(
        f"{path}: key 'kind' must be {allowed}, got {kind!r}",
        file=path,
        key='kind',
        got=repr(kind),
        allowed=allowed,
    )


def _get_kind(settings_type):
    return settings_type.__struct_config__.tag


def parse_settings(path, document, settings_type=None):
    """Convert a parsed YAML document to settings and validate them.

    Parameters
    ----------
    path : str or Path
        File named in error messages.
    document : object
        Content of the YAML file.
    settings_type : type or None
        The only allowed type of settings, or None for any type.

    Returns
    -------
    ControlSettings, NodeSettings or TargetSettings

    Raises
    ------
    SettingsError
        If the settings are invalid; names the file and, where one key is
        at fault, the key, its value and the allowed values.
    """
    selected_type = _select_type(path, document, settings_type)
    check_keys(path, document, selected_type)
    try:
        settings = msgspec.convert(document, Settings)
    except msgspec.ValidationError as error:
        raise make_conversion_error(
            path, document, selected_type, error
        ) from error
    try:
        check_settings(settings)
    except InvalidParameterError as error:
        details = {'file': path, **error.details}
        details['key'] = details.pop('parameter')
        raise SettingsError(f'{path}: {error.message}', **details) from error
    return settings


def load_settings(path, settings_type=None):
    """Load and validate a settings file.

    No other file is read, created or changed.

    Parameters
    ----------
    path : str or Path
        YAML file whose ``kind`` is ``control``, ``node`` or ``target``.
    settings_type : type or None
        The only allowed type of settings, or None for any type.

    Returns
    -------
    ControlSettings, NodeSettings or TargetSettings

    Raises
    ------
    SettingsError
        If the settings are invalid; names the file and, where one key is
        at fault, the key, its value and the allowed values.
    """
    return parse_settings(path, _read_document(path), settings_type)
