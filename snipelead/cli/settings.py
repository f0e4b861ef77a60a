"""Command that checks settings files."""

from cleo.helpers import argument
from msgspec import Struct

from snipelead.cli.command import JSON_OPTION
from snipelead.cli.command import SnipeleadCommand
from snipelead.settings.deployment import check_deployment
from snipelead.settings.loading import load_settings

__all__ = ['SettingsCheckCommand']


class CheckedFile(Struct, frozen=True):
    """JSON output for a settings file that passed all checks.

    Parameters
    ----------
    file : str
        Path of the file.
    kind : str
        Kind of the process that it configures.
    """

    file: str
    kind: str


class SettingsCheckCommand(SnipeleadCommand):
    """Checks settings files."""

    name = 'settings check'
    description = 'Check settings files without starting anything.'
    help = """If a file is invalid, prints its path, the key, the value and the
allowed values, and exits 1. Several files are checked as one deployment:
ids, addresses and data directories must be unique, and all files must list the
same controls.

Examples:
  snipelead settings check examples/dozators/control-a.yaml
  snipelead settings check examples/dozators/*.yaml"""
    arguments = [argument('files', 'Settings files (YAML).', multiple=True)]
    options = [JSON_OPTION]

    def run_command(self):
        """Check each file, then check that they form one deployment."""
        settings_by_path = {
            path: load_settings(path) for path in self.argument('files')
        }
        check_deployment(settings_by_path)
        checked_files = [
            CheckedFile(path, type(settings).__struct_config__.tag)
            for path, settings in settings_by_path.items()
        ]
        if self.wants_json:
            self.show_json(checked_files)
            return
        for checked_file in checked_files:
            self.show(
                f'{checked_file.file}: {checked_file.kind} settings are valid'
            )
