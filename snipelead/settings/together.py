"""Checks of the settings of several processes of one deployment."""

from snipelead.settings.exceptions import SettingsError
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import TargetSettings

__all__ = ['check_together']


def _claims(settings):
    """Return what no two processes may share: key and value pairs."""
    match settings:
        case ControlSettings():
            keys = ('control_id', 'address', 'operator_address', 'data_dir')
        case NodeSettings():
            keys = ('node_id', 'caller_address', 'address', 'admin_address')
        case TargetSettings():
            keys = ('target_id', 'address')
    return [(key, getattr(settings, key)) for key in keys]


def _kind_of_claim(key):
    """Return the name under which values of a key must be unique."""
    return 'address' if key.endswith('address') else key


def _controls(settings):
    """Return the controls that a process knows, by id; None for targets."""
    match settings:
        case ControlSettings():
            return {peer.control_id: peer for peer in settings.peers}
        case NodeSettings():
            return {peer.control_id: peer for peer in settings.controls}
        case _:
            return None


def _check_unique(settings_by_path):
    owners = {}
    for path, settings in settings_by_path.items():
        for key, value in _claims(settings):
            claim = (_kind_of_claim(key), value)
            if claim in owners:
                raise SettingsError(
                    f'{path}: key {key!r} is {value!r}, which'
                    f' {owners[claim]} uses as well',
                    file=path,
                    key=key,
                    got=repr(value),
                    allowed='a value that no other process uses',
                )
            owners[claim] = path


def _check_controls(settings_by_path):
    first_path, first = None, None
    for path, settings in settings_by_path.items():
        controls = _controls(settings)
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
                f'{path}: key {key!r} lists other controls than {first_path}',
                file=path,
                key=key,
                allowed=f'the same controls as in {first_path}',
            )


def check_together(settings_by_path):
    """Check that the processes of one deployment fit together.

    Parameters
    ----------
    settings_by_path : dict of str to Settings
        Settings, each checked by itself, by the path of their file.

    Raises
    ------
    SettingsError
        If two processes use the same id, address or data folder, or if they
        list different controls.
    """
    _check_unique(settings_by_path)
    _check_controls(settings_by_path)
