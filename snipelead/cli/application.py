"""The ``snipelead`` command."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from snipelead import __version__
from snipelead.cli.bench import make_bench_commands
from snipelead.cli.command import ExitCode
from snipelead.cli.daemons import ControlCommand
from snipelead.cli.daemons import NodeCommand
from snipelead.cli.daemons import TargetCommand
from snipelead.cli.fleet import FleetStatusCommand
from snipelead.cli.logs import LogsExplainCommand
from snipelead.cli.quarantine import QuarantineLiftCommand
from snipelead.cli.quarantine import QuarantineListCommand
from snipelead.cli.quickstart import QuickstartCommand
from snipelead.cli.release_check import ReleaseCheckCommand
from snipelead.cli.releases import ReleaseListCommand
from snipelead.cli.releases import ReleaseShowCommand
from snipelead.cli.releases import ReleaseSubmitCommand
from snipelead.cli.releases import ReleaseValidateCommand
from snipelead.cli.settings import SettingsCheckCommand

__all__ = ['SnipeleadApplication', 'main', 'make_application']


class SnipeleadApplication(Application):
    """Cleo application that exits with code 2 on usage errors."""

    def _run(self, io):
        wants_version = io.input.has_parameter_option(['--version', '-V'])
        if io.input.first_argument is None and not wants_version:
            # Without a command, --help lists the commands as well.
            io.set_input(ArgvInput(['snipelead', 'list']))
        try:
            return super()._run(io)
        except CleoError as error:
            self.render_error(error, io)
            return ExitCode.USAGE


def make_application():
    """Return the application with all commands."""
    application = SnipeleadApplication('snipelead', __version__)
    for command in [
        ControlCommand(),
        NodeCommand(),
        TargetCommand(),
        SettingsCheckCommand(),
        ReleaseValidateCommand(),
        ReleaseCheckCommand(),
        ReleaseSubmitCommand(),
        ReleaseShowCommand(),
        ReleaseListCommand(),
        FleetStatusCommand(),
        QuarantineListCommand(),
        QuarantineLiftCommand(),
        LogsExplainCommand(),
        QuickstartCommand(),
        *make_bench_commands(),
    ]:
        application.add(command)
    return application


def main():
    """Run the command line and exit with its exit code."""
    application = make_application()
    application.auto_exits(False)
    sys.exit(int(application.run()))
