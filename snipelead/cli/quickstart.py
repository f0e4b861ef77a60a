"""Command that demonstrates the system in one process."""

from pathlib import Path
import signal
import time

from cleo.helpers import option
import httpx
import trio

from snipelead.cli.command import ExitCode
from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.exceptions import QuickstartError
from snipelead.logs import configure_logs
from snipelead.logs import LogFormat
from snipelead.operators.client import OperatorClient
from snipelead.releases.note import load_note
from snipelead.types import OutcomeKind

__all__ = ['QuickstartCommand']

NOTE_PATH = Path(__file__).resolve().parents[2] / 'examples/dozators.yaml'
REFILL_KEY = 'refill-2026-0001'
DEADLINE_MS = 5_000
TIMEOUT_S = 30
POLL_INTERVAL_S = 0.05
DEFAULT_RETRY_AFTER_MS = 200
_MS_PER_S = 1_000


def _describe_response(response):
    headers = response.headers
    code = headers.get('X-Snipelead-Code')
    if code is None:
        return f'{response.status_code}, {len(response.content)} bytes'
    ran = headers.get('X-Snipelead-Ran', 'unknown')
    return f'{response.status_code}, {code}, request was run: {ran}'


class Demo:
    """Demonstration of a running deployment.

    Parameters
    ----------
    deployment : Deployment
        Daemons, run as tasks of this process.
    show : callable
        Function that prints a line.

    Attributes
    ----------
    finished : bool
        Whether all steps succeeded.
    """

    def __init__(self, deployment, show):
        self.deployment = deployment
        self.show = show
        self.finished = False

    async def run(self):
        """Submit a release, send requests, and check how often one ran.

        Raises
        ------
        QuickstartError
            If a step failed or timed out.
        """
        self._show_processes()
        await self._submit()
        async with httpx.AsyncClient(trust_env=False) as http_client:
            await self._send_reads(http_client)
            await self._send_duplicate_refills(http_client)
        self.finished = True

    def show_addresses(self):
        """Print the addresses for operators and callers."""
        for address in self.deployment.get_operator_addresses():
            self.show(f'operators: snipelead fleet status --control {address}')
        for node in self.deployment.nodes:
            settings = node.settings
            self.show(
                f'callers: http://{settings.caller_address}'
                f' ({settings.node_id} in {settings.zone})'
            )

    def _show_processes(self):
        zones = sorted({n.settings.zone for n in self.deployment.nodes})
        self.show(
            f'Started {len(self.deployment.controls)} control,'
            f' {len(self.deployment.nodes)} nodes in availability zones'
            f' {" and ".join(zones)}, and an example target for each node.'
        )

    async def _submit(self):
        text = NOTE_PATH.read_text()
        note = load_note(text)
        addresses = self.deployment.get_operator_addresses()
        async with OperatorClient(addresses) as client:
            started_s = time.monotonic()
            result = await client.submit(text, note.note)
            if result.outcome is not OutcomeKind.ACCEPTED:
                raise QuickstartError(f'{result.code}: {result.message}')
            self.show(f'Submitted {NOTE_PATH.name}: release 1 accepted.')
            with trio.move_on_after(TIMEOUT_S):
                await self._wait_until_in_force(client, result.held)
                elapsed_ms = (time.monotonic() - started_s) * _MS_PER_S
                self.show(
                    f'Release 1 is in force on all nodes, {elapsed_ms:.0f} ms'
                    ' after it was submitted.'
                )
                return
        raise QuickstartError(
            f'release 1 is not in force on all nodes after {TIMEOUT_S} s'
        )

    async def _wait_until_in_force(self, client, release):
        node_count = len(self.deployment.nodes)
        while True:
            status = await client.show_release(release.number)
            if status.in_force and status.nodes == node_count:
                return
            await trio.sleep(POLL_INTERVAL_S)

    async def _send_reads(self, http_client):
        for node in (self.deployment.nodes[0], self.deployment.nodes[-1]):
            for path in ('/contracts/schedules/7', '/stock/levels/7'):
                await self._send_with_retries(http_client, node, 'GET', path)

    async def _send_duplicate_refills(self, http_client):
        headers = {'Idempotency-Key': REFILL_KEY}
        for node in (self.deployment.nodes[0], self.deployment.nodes[-1]):
            await self._send_with_retries(
                http_client, node, 'POST', '/contracts/refills', headers
            )
        runs = self.deployment.count_runs(REFILL_KEY)
        self.show(
            f'Both confirmations carry the key {REFILL_KEY};'
            f' the targets ran the refill {runs} time(s).'
        )
        if runs != 1:
            raise QuickstartError(
                f'the refill must run once, but ran {runs} times'
            )

    async def _send_with_retries(
        self, http_client, node, method, path, headers=None
    ):
        """Send a request, and retry it while it is known not to have run."""
        settings = node.settings
        url = f'http://{settings.caller_address}{path}'
        default_headers = {
            'X-Deadline-Ms': str(DEADLINE_MS),
            'X-Tenant': 'balts',
        }
        with trio.move_on_after(TIMEOUT_S):
            while True:
                response = await http_client.request(
                    method, url, headers=default_headers | (headers or {})
                )
                if response.headers.get('X-Snipelead-Ran') != 'no':
                    break
                retry_after_ms = response.headers.get(
                    'X-Retry-After-Ms', DEFAULT_RETRY_AFTER_MS
                )
                await trio.sleep(int(retry_after_ms) / _MS_PER_S)
            self.show(
                f'{method} {path} through {settings.node_id}:'
                f' {_describe_response(response)}'
            )
            return
        raise QuickstartError(
            f'{method} {path} did not run within {TIMEOUT_S} s'
        )


async def _cancel_on_signal(scope, *, task_status):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            scope.cancel()


class QuickstartCommand(SnipeleadCommand):
    """Demonstrates the system in one process."""

    name = 'quickstart'
    description = 'Run a small deployment in one process as a demonstration.'
    help = """Starts a control, nodes in two availability zones and example
targets as tasks on free ports, submits a release, waits until it is in
force, sends requests, and stops. Temporary files are removed.

Examples:
  snipelead quickstart
  snipelead quickstart --keep"""
    options = [
        option('keep', description='Keep running until SIGINT or SIGTERM.'),
        option(
            'log-level',
            description='Minimum level of the log lines shown.',
            flag=False,
            default='error',
        ),
    ]

    def run_command(self):
        """Run the deployment and the demonstration."""
        configure_logs(LogFormat.CONSOLE, self.option('log-level'))
        trio.run(self._run)
        self.show('Stopped.')
        return ExitCode.OK

    async def _run(self):
        # Imported here to keep the start of other commands fast.
        from snipelead.daemons.quickstart import open_deployment

        async with trio.open_nursery() as nursery:
            demo_scope = trio.CancelScope()
            await nursery.start(_cancel_on_signal, demo_scope)
            async with open_deployment() as deployment:
                demo = Demo(deployment, self.show)
                with demo_scope:
                    await demo.run()
                    if self.option('keep'):
                        demo.show_addresses()
                        self.show('Running until SIGINT or SIGTERM.')
                        await trio.sleep_forever()
            nursery.cancel_scope.cancel()
        if not demo.finished:
            raise QuickstartError(
                'stopped by a signal before the demonstration finished'
            )
