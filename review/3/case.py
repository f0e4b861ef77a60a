"""A control that has lost its disk is killed while it joins again."""

import asyncio
import os
from pathlib import Path
import signal
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import CannotRunError  # noqa: E402
from mesh import Operator  # noqa: E402
from mesh import route  # noqa: E402
from mesh import run_case  # noqa: E402
from mesh import TROUBLE  # noqa: E402
from mesh import wait_for  # noqa: E402

HOST = 'shop.example'
CATCH_UP_S = 4.0
RECOVERY_S = 15.0
RESTART_DELAY_S = 0.5
JOIN_LIMIT_S = 10.0
MAX_TRIES = 6
RESTARTS = 4


def kill_after_snapshot(control):
    """Kill a control that joins as soon as its snapshot is on its disk.

    Returns
    -------
    bool
        Whether the log that belongs to the snapshot is not on its disk.
    """
    deadline = time.monotonic() + JOIN_LIMIT_S
    directory = control.data_dir
    while time.monotonic() < deadline:
        names = os.listdir(directory)
        if any(
            n.startswith('snapshot-') and not n.endswith('.tmp') for n in names
        ):
            control.popen.send_signal(signal.SIGKILL)
            control.popen.wait()
            names = sorted(p.name for p in directory.iterdir())
            control.mesh.record.write(
                f'{control.name} is killed as it joins; its disk holds {names}'
            )
            logs = [n for n in names if n.startswith('log-')]
            return [n for n in logs if not n.endswith('.tmp')] == [
                'log-000000000001'
            ]
    raise CannotRunError(f'{control.name} got no snapshot')


async def wait_reads(operator, controls):
    """Wait until controls answer with the newest acknowledged version."""
    version = operator.acked['version']

    async def is_read(control):
        return await operator.read(control) == version

    for control in controls:
        await wait_for(
            lambda control=control: is_read(control),
            f'{control.name} answers with {version}',
        )


async def lose_disk(control):
    """Kill a control and start it again with an empty disk."""
    control.kill()
    control.lose_disk()
    await asyncio.sleep(RESTART_DELAY_S)
    control.start()


async def rejoin(operator, control):
    """Let a control lose its disk and join again, killed on the way."""
    for _ in range(MAX_TRIES):
        await lose_disk(control)
        is_hit = True
        if TROUBLE:
            is_hit = await asyncio.to_thread(kill_after_snapshot, control)
            await asyncio.sleep(RESTART_DELAY_S)
            control.start()
        await wait_reads(operator, [control])
        await asyncio.sleep(CATCH_UP_S)
        if is_hit:
            return
    raise CannotRunError('no kill came between the snapshot and the log')


async def restart(record, control):
    """Stop a control as planned, then start it whenever it has ended."""
    control.send_signal(signal.SIGTERM)
    await asyncio.to_thread(control.popen.wait)
    for number in range(RESTARTS):
        await asyncio.sleep(RESTART_DELAY_S)
        control.start()
        await asyncio.sleep(2.0)
        if control.is_running:
            return
        lines = control.read_log().splitlines()
        reason = next(x for x in reversed(lines) if 'Error' in x)
        record.say(
            f'{control.name} ended by itself, start {number + 1} after the'
            f' stop: {reason.strip(" |")}'
        )


async def main(mesh, record):
    """Return whether the rule held."""
    first, _, third = mesh.controls
    for control in mesh.controls:
        control.start()
    operator = Operator(mesh, HOST, ('orders',))
    paths = [route('r-orders', '/orders/', 'orders')]
    await operator.submit(operator.make(paths))
    await wait_reads(operator, mesh.controls)
    await rejoin(operator, third)
    for timeout_ms in (2_000, 3_000):
        paths = [route('r-orders', '/orders/', 'orders', 'safe', timeout_ms)]
        if not await operator.submit(operator.make(paths)):
            raise CannotRunError('no ack')
    await wait_reads(operator, mesh.controls)
    record.say(f'version {operator.acked["version"]} is acknowledged')
    await restart(record, third)
    await asyncio.sleep(CATCH_UP_S)
    paths = [route('r-orders', '/orders/', 'orders', 'safe', 4_000)]
    if not await operator.submit(operator.make(paths)):
        raise CannotRunError('no ack')
    version = operator.acked['version']
    record.say(f'version {version} is acknowledged; then one disk is lost')
    await lose_disk(first)
    await asyncio.sleep(RECOVERY_S)
    versions = []
    for _ in range(5):
        versions += [await operator.read(c) for c in mesh.controls]
        await asyncio.sleep(1.0)
    read = versions.count(version)
    record.say(
        f'later than recovery, {read} of {len(versions)} reads of the'
        f' configuration got version {version}; they got'
        f' {sorted(set(map(str, versions)))}'
    )
    return read > 0 and third.is_running


run_case(main, (), Path(__file__).resolve().parent)
