"""Commands about the fleet."""

from collections import Counter

import trio

from snipelead.cli.command import CONTROL_OPTION
from snipelead.cli.command import ExitCode
from snipelead.cli.command import JSON_OPTION
from snipelead.cli.command import SnipeleadCommand

__all__ = ['UNPROVED', 'FleetStatusCommand']

UNPROVED = 'The control that answered could not prove that it is current.'


def describe_fleet(status):
    """Return lines that describe a FleetReport."""
    yield f'current release: {status.current.number}, {status.state.value}'
    yield f'confirmed by {status.confirmed} of {status.total} live nodes'
    for control in status.controls:
        yield (
            f'control {control.control_id} in {control.zone}: release'
            f' {control.current.number}, {control.nodes} nodes'
        )
    for control_id in status.unreachable_controls:
        yield f'control {control_id}: cannot be reached'
    for control_id in status.warming_controls:
        yield f'control {control_id}: has just started'
    silent = len(status.nodes) - status.total
    yield f'nodes: {status.total} live, {silent} silent'
    for node in status.nodes:
        state = 'live' if node.live else 'silent'
        yield (
            f'node {node.node_id} in {node.zone}: release {node.held.number},'
            f' {state}, heard of {node.age_ms} ms ago'
        )
    counts = Counter((t.service, t.state.value) for t in status.targets)
    for (service, state), count in sorted(counts.items()):
        yield f'service {service}: {count} targets {state}'


class FleetStatusCommand(SnipeleadCommand):
    """Shows controls, nodes and targets."""

    name = 'fleet status'
    description = 'Show controls, nodes and targets as the controls see them.'
    help = """Exits 3 when no control could prove that it is current.

Example:
  snipelead fleet status --control 127.0.0.1:7111 --json"""
    options = [CONTROL_OPTION, JSON_OPTION]

    def run_checked(self):
        """Read the fleet's status and print it."""
        status = trio.run(self._read)
        if self.wants_json:
            self.show_json(status)
        else:
            for line in describe_fleet(status):
                self.show(line)
        if not status.certified:
            self.show_progress(UNPROVED)
            return ExitCode.UNKNOWN
        return ExitCode.OK

    async def _read(self):
        async with self.open_client() as client:
            return await client.show_fleet()
