"""Deployments of separate processes for benchmarks, and their releases."""

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

# More log entries than any benchmark writes, so that the log is never
# compacted and its growth can be measured.
UNREACHED_SNAPSHOT_ENTRIES = 100_000
ROUTES_PER_SERVICE = 2


def make_changes(service_count):
    """Return the changes of a first release.

    Parameters
    ----------
    service_count : int
        Number of services, each with ``ROUTES_PER_SERVICE`` routes.

    Returns
    -------
    list of dict
    """
    changes = [{'action': 'add', 'setting': {'name': 'revision', 'value': 1}}]
    for number in range(service_count):
        service = f'service-{number}'
        changes.append({'action': 'add', 'service': {'name': service}})
        changes += [
            {
                'action': 'add',
                'route': {
                    'name': f'{service}-{route_number}',
                    'service': service,
                    'path_prefix': f'/{service}/{route_number}',
                    'repeatable': True,
                },
            }
            for route_number in range(ROUTES_PER_SERVICE)
        ]
    return changes


def change_revision(number):
    """Return the changes of a later release, which sets ``revision``."""
    setting = {'name': 'revision', 'value': number}
    return [{'action': 'change', 'setting': setting}]


@contextmanager
def running_fleet(**parameters):
    """Run a fleet in a temporary directory.

    Parameters
    ----------
    **parameters
        Passed to :class:`~snipelead.testing.processes.Fleet`.
    """
    with (
        tempfile.TemporaryDirectory() as directory,
        Fleet(directory, **parameters) as fleet,
    ):
        for control in fleet.controls:
            fleet.replace_settings(
                control, snapshot_entries=UNREACHED_SNAPSHOT_ENTRIES
            )
        yield fleet.start()


def read_disk_bytes(fleet):
    """Return the size of the first control's data directory in bytes."""
    directory = Path(fleet.controls[0].settings.data_dir)
    return sum(
        path.stat().st_size for path in directory.rglob('*') if path.is_file()
    )
