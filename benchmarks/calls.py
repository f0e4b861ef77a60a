"""CPU time that nodes spend on calls."""

import trio
import yaml

from benchmarks.deployment import make_changes
from benchmarks.deployment import running_fleet
from benchmarks.points import CallPoint
from benchmarks.process_usage import CpuTimer
from benchmarks.process_usage import read_rss_mb
from snipelead.emulator.load import CallSpec
from snipelead.emulator.load import ClosedLoop
from snipelead.testing.processes import wait_for

__all__ = ['measure_calls']

CONCURRENT_CALLERS = 8
CALL_PATH = '/service-0/0'


def measure_calls(counts):
    """Measure the CPU time of two nodes for different numbers of calls.

    Parameters
    ----------
    counts : sequence of int
        Numbers of calls, multiples of ``CONCURRENT_CALLERS``.

    Returns
    -------
    points : list of CallPoint
        One measurement for each number of calls.
    rss_mb : float
        Resident memory of a node in megabytes.
    """
    with running_fleet(
        controls=1,
        services=['service-0', None],
        target_changes={'service_time_ms': 0.0, 'slots': 100},
    ) as fleet:
        _submit_release(fleet)
        _wait_until_served(fleet)
        points = [_measure_point(fleet, count) for count in counts]
        return points, read_rss_mb(fleet.nodes[0].popen.pid)


def _submit_release(fleet):
    url = f'http://{fleet.get_operator_addresses()[0]}/v1/releases'
    note = {'release': 1, 'note': 'first', 'changes': make_changes(1)}
    text = yaml.safe_dump(note)
    wait_for(
        lambda: fleet.client.post(url, content=text).is_success,
        'acceptance of release 1',
    )


def _wait_until_served(fleet):
    for url in fleet.caller_urls():
        wait_for(
            lambda u=url: fleet.client.get(f'{u}{CALL_PATH}').is_success,
            f'a successful response from {url}',
        )


def _measure_point(fleet, count):
    owner, origin = fleet.nodes
    cpu_timer = CpuTimer([owner.popen.pid, origin.popen.pid])

    def run_load(node):
        cpu_timer.start()
        load = ClosedLoop(
            [node.settings.caller_address],
            [CallSpec(path=CALL_PATH, tenant='a', request_class='i')],
            CONCURRENT_CALLERS,
            count // CONCURRENT_CALLERS,
        )
        trio.run(load.run)
        return cpu_timer.cpu_s()

    local_s, _ = run_load(owner)
    owner_s, origin_s = run_load(origin)
    return CallPoint(count, local_s, origin_s, owner_s)
