"""Settings of the processes, loaded from YAML files."""

from snipelead.settings.loading import load_settings
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import Peer
from snipelead.settings.schema import TargetSettings

__all__ = [
    'ControlSettings',
    'NodeSettings',
    'Peer',
    'TargetSettings',
    'load_settings',
]
