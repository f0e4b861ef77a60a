"""Processor time of nodes for calls."""

import trio
import yaml

from benchmarks.deployment import make_changes
from benchmarks.deployment import running_fleet
from benchmarks.points import CallPoint
from benchmarks.processor import ProcessorTimes
from benchmarks.processor import read_rss_mb
from snipelead.emulator.load import CallKind
from snipelead.emulator.load import ClosedLoop
from snipelead.testing.processes import wait_for

__all__ = ['measure_calls']

CALLERS = 8
PATH = '/service-0/0'


def measure_calls(counts):
    """Measure the processor time of nodes for numbers of calls.

    Returns
    -------
    list of CallPoint, float
        Points, and resident memory of a node in megabytes.
    """
    with running_fleet(
        controls=1,
        services=['service-0', None],
        target_changes={'service_time_ms': 0.0, 'slots': 100},
    ) as fleet:
        _submit_release(fleet)
        _wait_served(fleet)
        points = [_measure_calls(fleet, count) for count in counts]
        return points, read_rss_mb(fleet.nodes[0].popen.pid)


def _submit_release(fleet):
    url = f'http://{fleet.operator_addresses()[0]}/v1/releases'
    note = {'release': 1, 'note': 'first', 'changes': make_changes(1)}
    text = yaml.safe_dump(note)
    wait_for(
        lambda: fleet.client.post(url, content=text).is_success, 'release 1'
    )


def _wait_served(fleet):
    for url in fleet.caller_urls():
        wait_for(
            lambda u=url: fleet.client.get(f'{u}{PATH}').is_success,
            f'{url} serves',
        )


def _measure_calls(fleet, count):
    owner, origin = fleet.nodes
    times = ProcessorTimes([owner.popen.pid, origin.popen.pid])

    def run(node):
        times.start()
        load = ClosedLoop(
            [node.settings.caller_address],
            [CallKind(path=PATH, tenant='a', request_class='i')],
            CALLERS,
            count // CALLERS,
        )
        trio.run(load.run)
        return times.spent_s()

    local_s, _ = run(owner)
    owner_s, origin_s = run(origin)
    return CallPoint(count, local_s, origin_s, owner_s)
