"""Command that shows the status of a deployment."""

from collections import Counter

import trio

from snipelead.cli.command import CONTROL_OPTION
from snipelead.cli.command import ExitCode
from snipelead.cli.command import JSON_OPTION
from snipelead.cli.command import SnipeleadCommand

__all__ = ['NOT_CERTIFIED_WARNING', 'FleetStatusCommand']

NOT_CERTIFIED_WARNING = (
    'The control that responded could not confirm that it is up to date.'
)


def describe_fleet(report):
    """Yield the lines that describe a FleetReport."""
    yield f'current release: {report.current.number}, {report.state.value}'
    yield f'confirmed by {report.confirmed} of {report.total} live nodes'
    for control in report.controls:
        yield (
            f'control {control.control_id} in {control.zone}: release'
            f' {control.current.number}, {control.nodes} nodes'
        )
    for control_id in report.unreachable_controls:
        yield f'control {control_id}: unreachable'
    for control_id in report.warming_controls:
        yield f'control {control_id}: started recently'
    silent_count = len(report.nodes) - report.total
    yield f'nodes: {report.total} live, {silent_count} silent'
    for node in report.nodes:
        state = 'live' if node.live else 'silent'
        yield (
            f'node {node.node_id} in {node.zone}: release {node.held.number},'
            f' {state}, last report {node.age_ms} ms ago'
        )
    counts = Counter((t.service, t.state.value) for t in report.targets)
    for (service, state), count in sorted(counts.items()):
        yield f'service {service}: {count} targets {state}'


class FleetStatusCommand(SnipeleadCommand):
    """Shows controls, nodes and targets."""

    name = 'fleet status'
    description = 'Show the status of the controls, nodes and targets.'
    help = """Exits 3 if no control could confirm that it is up to date.

Example:
  snipelead fleet status --control 127.0.0.1:7111 --json"""
    options = [CONTROL_OPTION, JSON_OPTION]

    def run_command(self):
        """Fetch the report of the deployment and print it."""
        report = trio.run(self._fetch_report)
        if self.wants_json:
            self.show_json(report)
        else:
            for line in describe_fleet(report):
                self.show(line)
        if not report.certified:
            self.show_diagnostic(NOT_CERTIFIED_WARNING)
            return ExitCode.UNKNOWN
        return ExitCode.OK

    async def _fetch_report(self):
        async with self.open_client() as client:
            return await client.show_fleet()
