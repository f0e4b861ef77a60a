"""Commands about settings files."""

from cleo.helpers import argument
from msgspec import Struct

from snipelead.cli.command import JSON_OPTION
from snipelead.cli.command import SnipeleadCommand
from snipelead.settings.loading import load_settings
from snipelead.settings.together import check_together

__all__ = ['SettingsCheckCommand']


class CheckedFile(Struct, frozen=True):
    """A settings file that passed all checks."""

    file: str
    kind: str


class SettingsCheckCommand(SnipeleadCommand):
    """Checks settings files."""

    name = 'settings check'
    description = 'Check settings files without starting anything.'
    help = """Exits 1 with file, key, value got and values allowed when a
file is refused. Several files are taken for one deployment: ids, addresses
and data folders must differ, and all must list the same controls.

Examples:
  snipelead settings check examples/dozators/control-a.yaml
  snipelead settings check examples/dozators/*.yaml"""
    arguments = [argument('files', 'Settings files (YAML).', multiple=True)]
    options = [JSON_OPTION]

    def run_checked(self):
        """Check each file in turn, then all together."""
        settings = {
            path: load_settings(path) for path in self.argument('files')
        }
        check_together(settings)
        checked = [
            CheckedFile(path, type(one).__struct_config__.tag)
            for path, one in settings.items()
        ]
        if self.wants_json:
            self.show_json(checked)
            return
        for one in checked:
            self.show(f'{one.file}: {one.kind} settings are valid')
