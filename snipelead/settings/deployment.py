"""Validation of the settings of several processes of one deployment."""

from snipelead.settings.exceptions import SettingsError
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import TargetSettings

__all__ = ['check_deployment']


def _list_unique_values(settings):
    """Return the key and value pairs that no other process may use."""
    match settings:
        case ControlSettings():
            keys = ('control_id', 'address', 'operator_address', 'data_dir')
        case NodeSettings():
            keys = ('node_id', 'caller_address', 'address', 'admin_address')
        case TargetSettings():
            keys = ('target_id', 'address')
    return [(key, getattr(settings, key)) for key in keys]


def _get_unique_kind(key):
    """Return the kind of a key; values of one kind must be unique."""
    return 'address' if key.endswith('address') else key


def _get_controls(settings):
    """Return the listed controls by id, or None for a target."""
    match settings:
        case ControlSettings():
            return {peer.control_id: peer for peer in settings.peers}
        case NodeSettings():
            return {peer.control_id: peer for peer in settings.controls}
        case _:
            return None


def _check_unique_values(settings_by_path):
    path_by_value = {}
    for path, settings in settings_by_path.items():
        for key, value in _list_unique_values(settings):
            unique_value = (_get_unique_kind(key), value)
            if unique_value in path_by_value:
                raise SettingsError(
                    f'{path}: key {key!r} is {value!r}, which'
                    f' is also used by {path_by_value[unique_value]}',
                    file=path,
                    key=key,
                    got=repr(value),
                    allowed='a value not used by another process',
                )
            path_by_value[unique_value] = path


def _check_same_controls(settings_by_path):
    first_path, first = None, None
    for path, settings in settings_by_path.items():
        controls = _get_controls(settings)
        if controls is None:
            continue
        if first is None:
            first_path, first = path, controls
        if controls != first:
            key = (
                'peers'
                if isinstance(settings, ControlSettings)
                else ('controls')
            )
            raise SettingsError(
                f'{path}: key {key!r} lists different controls than'
                f' {first_path}',
                file=path,
                key=key,
                allowed=f'the controls listed in {first_path}',
            )


def check_deployment(settings_by_path):
    """Check that the settings of one deployment are consistent.

    Parameters
    ----------
    settings_by_path : dict of str to Settings
        Individually validated settings by the path of their file.

    Raises
    ------
    SettingsError
        If two processes use the same id, address or data directory, or if
        they list different controls.
    """
    _check_unique_values(settings_by_path)
    _check_same_controls(settings_by_path)
