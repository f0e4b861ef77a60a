"""Reading and checking of settings files."""

from pathlib import Path

import msgspec
import yaml

from snipelead.settings.exceptions import SettingsError
from snipelead.settings.schema import Settings

__all__ = ['load_settings']


def load_settings(path):
    """Read a settings file.

    Parameters
    ----------
    path : str or Path
        YAML file whose ``kind`` is ``control``, ``node`` or ``target``.

    Returns
    -------
    ControlSettings, NodeSettings or TargetSettings

    Raises
    ------
    SettingsError
        Naming the file, the key, the value got and the values allowed.
    """
    try:
        document = yaml.safe_load(Path(path).read_text())
        return msgspec.convert(document, Settings)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise SettingsError(f'{path}: {error}', file=path) from error
