"""Memory and CPU time of releases and target directories in a node."""

import time
import tracemalloc

import yaml

from benchmarks.deployment import make_changes
from benchmarks.points import SizePoint
from benchmarks.requirements import REQUIREMENTS
from snipelead.messages import DirectoryUpdate
from snipelead.messages import TargetEntry
from snipelead.nodes.directory import TargetDirectory
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.note import load_note
from snipelead.releases.note_application import apply_note
from snipelead.types import Address
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import ZoneName

__all__ = ['measure_sizes']


def measure_sizes(counts):
    """Measure a release and a target directory of different sizes.

    Parameters
    ----------
    counts : sequence of int
        Numbers of services in the release and of targets in the directory.

    Returns
    -------
    list of SizePoint
    """
    return [_measure_size(count) for count in counts]


def _measure_size(count):
    tracemalloc.start()
    note = {'release': 1, 'note': 'n', 'changes': make_changes(count)}
    text = yaml.safe_dump(note)
    before = tracemalloc.get_traced_memory()[0]
    release = apply_note(EMPTY_RELEASE, load_note(text))
    release_bytes = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    update = _make_update(count)
    directory = TargetDirectory()
    directory.apply(update)
    directory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    start_time_s = time.process_time()
    TargetDirectory().apply(update)
    directory_s = time.process_time() - start_time_s
    if release.number != 1:
        raise LookupError('the release has an unexpected number')
    return SizePoint(count, release_bytes, directory_bytes, directory_s)


def _make_update(count):
    entries = tuple(
        TargetEntry(
            TargetId(f'target-{n}'),
            NodeId(f'node-{n}'),
            ZoneName(f'zone-{n % REQUIREMENTS.zones}'),
            ServiceName(f'service-{n % REQUIREMENTS.services}'),
            Address(f'127.0.0.1:{n}'),
            Incarnation(n),
            1,
        )
        for n in range(count)
    )
    return DirectoryUpdate('epoch', 1, True, entries)
