"""Commands about settings files."""

from cleo.helpers import argument
from msgspec import Struct

from snipelead.cli.command import JSON_OPTION
from snipelead.cli.command import SnipeleadCommand
from snipelead.settings.loading import load_settings

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
file is refused.

Example:
  snipelead settings check examples/dozators/*.yaml"""
    arguments = [argument('files', 'Settings files (YAML).', multiple=True)]
    options = [JSON_OPTION]

    def run_checked(self):
        """Check each file in turn; stops at the first one refused."""
        checked = [self._check(path) for path in self.argument('files')]
        if self.wants_json:
            self.show_json(checked)
            return
        for one in checked:
            self.show(f'{one.file}: {one.kind} settings are valid')

    def _check(self, path):
        settings = load_settings(path)
        return CheckedFile(path, type(settings).__struct_config__.tag)
