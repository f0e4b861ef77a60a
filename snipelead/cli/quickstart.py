"""The command that shows the whole system in one process."""

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
WAIT_S = 30
POLL_S = 0.05
RETRY_MS = 200
_MS_PER_S = 1_000


def _describe(response):
    headers = response.headers
    code = headers.get('X-Snipelead-Code')
    if code is None:
        return f'{response.status_code}, {len(response.content)} bytes'
    ran = headers.get('X-Snipelead-Ran', 'unknown')
    return f'{response.status_code}, {code}, request was run: {ran}'


class Tour:
    """What the quick start does with a running deployment.

    Parameters
    ----------
    deployment : Deployment
        The processes, as tasks.
    show : callable
        Prints a line.
    """

    def __init__(self, deployment, show):
        self.deployment = deployment
        self.show = show
        self.finished = False

    async def run(self):
        """Submit the release, send calls, and check what the targets ran.

        Raises
        ------
        QuickstartError
            If something did not go as it must.
        """
        self._show_processes()
        await self._submit()
        async with httpx.AsyncClient(trust_env=False) as http:
            await self._read(http)
            await self._confirm_refill_twice(http)
        self.finished = True

    def show_addresses(self):
        """Print where operators and callers connect."""
        for address in self.deployment.operator_addresses():
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
            f' {" and ".join(zones)}, and a stand-in target beside each node.'
        )

    async def _submit(self):
        text = NOTE_PATH.read_text()
        note = load_note(text)
        addresses = self.deployment.operator_addresses()
        async with OperatorClient(addresses) as client:
            started = time.monotonic()
            answer = await client.submit(text, note.note)
            if answer.outcome is not OutcomeKind.ACCEPTED:
                raise QuickstartError(f'{answer.code}: {answer.message}')
            self.show(f'Submitted {NOTE_PATH.name}: release 1 accepted.')
            with trio.move_on_after(WAIT_S):
                await self._wait_in_force(client, answer.held)
                took_ms = (time.monotonic() - started) * _MS_PER_S
                self.show(
                    f'Release 1 is in force on all nodes, {took_ms:.0f} ms'
                    ' after it was submitted.'
                )
                return
        raise QuickstartError(f'not in force everywhere within {WAIT_S} s')

    async def _wait_in_force(self, client, held):
        count = len(self.deployment.nodes)
        while True:
            status = await client.show_release(held.number)
            if status.in_force and status.nodes == count:
                return
            await trio.sleep(POLL_S)

    async def _read(self, http):
        for node in (self.deployment.nodes[0], self.deployment.nodes[-1]):
            for path in ('/contracts/schedules/7', '/stock/levels/7'):
                await self._call(http, node, 'GET', path)

    async def _confirm_refill_twice(self, http):
        headers = {'Idempotency-Key': REFILL_KEY}
        for node in (self.deployment.nodes[0], self.deployment.nodes[-1]):
            await self._call(http, node, 'POST', '/contracts/refills', headers)
        runs = self.deployment.count_runs(REFILL_KEY)
        self.show(
            f'Both confirmations carry the key {REFILL_KEY};'
            f' the targets ran the refill {runs} time(s).'
        )
        if runs != 1:
            raise QuickstartError(f'the refill ran {runs} times, not once')

    async def _call(self, http, node, method, path, headers=None):
        """Send a request; as long as it provably did not run, try again."""
        settings = node.settings
        url = f'http://{settings.caller_address}{path}'
        sent = {'X-Deadline-Ms': str(DEADLINE_MS), 'X-Tenant': 'balts'}
        with trio.move_on_after(WAIT_S):
            while True:
                response = await http.request(
                    method, url, headers=sent | (headers or {})
                )
                if response.headers.get('X-Snipelead-Ran') != 'no':
                    break
                after_ms = response.headers.get('X-Retry-After-Ms', RETRY_MS)
                await trio.sleep(int(after_ms) / _MS_PER_S)
            self.show(
                f'{method} {path} through {settings.node_id}:'
                f' {_describe(response)}'
            )
            return
        raise QuickstartError(f'{method} {path} was not run in {WAIT_S} s')


async def _cancel_on_signal(scope, *, task_status):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            scope.cancel()


class QuickstartCommand(SnipeleadCommand):
    """Shows the whole system in one process."""

    name = 'quickstart'
    description = 'Run a small deployment in one process and try it out.'
    help = """Starts a control, nodes in two availability zones and stand-in
targets as tasks on free ports, submits a release, waits until it is in
force, sends calls, and stops. Nothing is left behind.

Examples:
  snipelead quickstart
  snipelead quickstart --keep"""
    options = [
        option('keep', description='Stay up until SIGINT or SIGTERM.'),
        option(
            'log-level',
            description='Least severe log lines shown.',
            flag=False,
            default='error',
        ),
    ]

    def run_checked(self):
        """Run the deployment and the tour."""
        configure_logs(LogFormat.CONSOLE, self.option('log-level'))
        trio.run(self._run)
        self.show('Stopped.')
        return ExitCode.OK

    async def _run(self):
        # The daemons are imported only here, so that other commands start
        # quickly.
        from snipelead.daemons.quickstart import open_deployment

        async with trio.open_nursery() as nursery:
            stay = trio.CancelScope()
            await nursery.start(_cancel_on_signal, stay)
            async with open_deployment() as deployment:
                tour = Tour(deployment, self.show)
                with stay:
                    await tour.run()
                    if self.option('keep'):
                        tour.show_addresses()
                        self.show('Running until SIGINT or SIGTERM.')
                        await trio.sleep_forever()
            nursery.cancel_scope.cancel()
        if not tour.finished:
            raise QuickstartError('stopped by a signal before the end')
