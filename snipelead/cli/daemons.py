"""Commands that run a control, a node or a target until it is stopped."""

from importlib import import_module

from cleo.helpers import option
import trio

from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.exceptions import UsageError
from snipelead.settings.loading import load_settings
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import TargetSettings
from snipelead.utils.clock import SuspendAwareClock

__all__ = ['ControlCommand', 'NodeCommand', 'TargetCommand']

_HELP_FORMAT = """Runs until SIGTERM or SIGINT; stops gracefully and exits 0.

Example:
  snipelead {name} --settings examples/dozators/{example}.yaml"""


class DaemonCommand(SnipeleadCommand):
    """Base class of the commands that run a daemon.

    The module of the daemon is imported only when the command runs, which
    keeps the start of other commands fast.

    Attributes
    ----------
    settings_type : type
        Schema of the settings file.
    module_name, function_name : str
        Function that runs the daemon with the settings.
    """

    settings_type = None
    module_name = ''
    function_name = ''
    options = [
        option(
            'settings',
            's',
            'Path of the settings file (YAML); required.',
            flag=False,
        )
    ]

    def run_command(self):
        """Load the settings and run the daemon."""
        path = self.option('settings')
        if path is None:
            raise UsageError('--settings FILE is required')
        settings = load_settings(path, self.settings_type)
        module = import_module(self.module_name)
        trio.run(
            getattr(module, self.function_name),
            settings,
            clock=SuspendAwareClock(),
        )


class ControlCommand(DaemonCommand):
    """Runs a control."""

    name = 'control'
    description = 'Run a control, which stores and distributes releases.'
    help = _HELP_FORMAT.format(name='control', example='control-a')
    settings_type = ControlSettings
    module_name = 'snipelead.daemons.default_interfaces'
    function_name = 'run_control'


class NodeCommand(DaemonCommand):
    """Runs a node."""

    name = 'node'
    description = (
        'Run a node, which routes the requests of callers to targets.'
    )
    help = _HELP_FORMAT.format(name='node', example='node-contracts-1')
    settings_type = NodeSettings
    module_name = 'snipelead.daemons.default_interfaces'
    function_name = 'run_node'


class TargetCommand(DaemonCommand):
    """Runs an example target."""

    name = 'target'
    description = 'Run an example target, for trying out a deployment.'
    help = _HELP_FORMAT.format(name='target', example='target-contracts-1')
    settings_type = TargetSettings
    module_name = 'snipelead.daemons.target'
    function_name = 'run_target'
