"""Deployments of separate processes to measure, and their releases."""

from contextlib import contextmanager
from pathlib import Path
import tempfile

from snipelead.testing.processes import Fleet

__all__ = [
    'change_revision',
    'make_changes',
    'read_disk_bytes',
    'running_fleet',
]

# So many entries are never compacted, so that the growth of the log shows.
NO_COMPACTION = 100_000
ROUTES_PER_SERVICE = 2


def make_changes(services):
    """Return the changes of a first release of some size."""
    changes = [{'action': 'add', 'setting': {'name': 'revision', 'value': 1}}]
    for number in range(services):
        service = f'service-{number}'
        changes.append({'action': 'add', 'service': {'name': service}})
        changes += [
            {
                'action': 'add',
                'route': {
                    'name': f'{service}-{part}',
                    'service': service,
                    'path_prefix': f'/{service}/{part}',
                    'repeatable': True,
                },
            }
            for part in range(ROUTES_PER_SERVICE)
        ]
    return changes


def change_revision(number):
    """Return the changes of a later release: one setting."""
    setting = {'name': 'revision', 'value': number}
    return [{'action': 'change', 'setting': setting}]


@contextmanager
def running_fleet(**parameters):
    """Run a fleet in a temporary folder."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(folder, **parameters) as fleet,
    ):
        for control in fleet.controls:
            fleet.settings_of(control, snapshot_entries=NO_COMPACTION)
        yield fleet.start()


def read_disk_bytes(fleet):
    """Return the size of a control's data folder in bytes."""
    folder = Path(fleet.controls[0].settings.data_dir)
    return sum(p.stat().st_size for p in folder.rglob('*') if p.is_file())
