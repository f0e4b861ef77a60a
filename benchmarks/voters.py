"""Throughput, latency, processor time and state of three voters.

The voters run as separate processes with real files; one more process loads
them with claims over gRPC. Run ``python -m benchmarks.voters``.
"""

import argparse
from contextlib import contextmanager
import os
from pathlib import Path
import resource
import signal
import subprocess
import sys
import tempfile
import time

from hdrh.histogram import HdrHistogram
import msgspec
from msgspec import Struct
import trio

from snipelead.exceptions import SnipeleadError
from snipelead.logs import configure_logs
from snipelead.messages import CertifyRequest
from snipelead.messages import ClaimRequest
from snipelead.rpc.grpc import open_transport
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import Peer
from snipelead.testing.cluster import make_note
from snipelead.utils.ports import find_free_addresses
from snipelead.voters.messages import Claim
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import Entry
from snipelead.voters.messages import Submit
from snipelead.voters.state import State
from snipelead.voters.voter import Voter

NAMES = 'abc'
CALL_TIMEOUT_S = 5.0
MAX_LATENCY_US = 60_000_000
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
READY_PAUSE_S = 0.1
KIB_PER_MIB = 1_024


class VoterUsage(Struct, frozen=True):
    """What one voter used while it was loaded.

    Parameters
    ----------
    processor_s : float
        Processor time in seconds.
    memory_mb : float
        Largest resident memory in MiB.
    entries : int
        Committed entries.
    """

    processor_s: float
    memory_mb: float
    entries: int


def make_settings(folder):
    """Return the settings of all voters."""
    peers = tuple(
        Peer(control_id=name, zone=name, address=address)
        for name, address in zip(
            NAMES, find_free_addresses(len(NAMES)), strict=True
        )
    )
    return [
        ControlSettings(
            control_id=p.control_id,
            zone=p.zone,
            address=p.address,
            operator_address='127.0.0.1:0',
            data_dir=str(Path(folder) / p.control_id),
            peers=peers,
        )
        for p in peers
    ]


def read_processor_s():
    """Return the processor time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def serve(settings):
    """Run one voter until terminated; print its processor time."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async with open_transport() as transport, trio.open_nursery() as n:
            voter = Voter(settings, transport)
            await n.start(voter.run)
            await n.start(transport.serve, settings.address, voter.handlers())
            while not await voter.certify():
                await trio.sleep(READY_PAUSE_S)
            started_s = read_processor_s()
            async for _ in signals:
                break
            usage = resource.getrusage(resource.RUSAGE_SELF)
            used = VoterUsage(
                read_processor_s() - started_s,
                usage.ru_maxrss / KIB_PER_MIB,
                voter.replica.journal.commit_index,
            )
            print(msgspec.json.encode(used).decode(), flush=True)
            n.cancel_scope.cancel()


@contextmanager
def start_voters(folder):
    """Start a process for each voter; yield settings and processes."""
    all_settings = make_settings(folder)
    processes = []
    for settings in all_settings:
        path = Path(folder) / f'{settings.control_id}.json'
        path.write_bytes(msgspec.json.encode(settings))
        processes.append(
            subprocess.Popen(
                [sys.executable, '-m', 'benchmarks.voters', '--serve', path],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
        )
    try:
        yield all_settings, processes
    finally:
        for process in processes:
            process.kill()
            process.wait()


async def wait_ready(channel):
    """Wait until a voter proves itself current."""
    with trio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                if (await channel.call(CertifyRequest(), 2.0)).certified:
                    return
            except SnipeleadError:
                pass
            await trio.sleep(0.2)


async def measure(all_settings, make_request, clients, seconds):
    """Send requests from concurrent clients; return count and latencies."""
    latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
    errors = []
    async with open_transport() as transport:
        channels = [transport.connect(s.address) for s in all_settings]
        for channel in channels:
            await wait_ready(channel)
        end = trio.current_time() + seconds

        async def run_client(number):
            count = 0
            while trio.current_time() < end:
                request = make_request(number, count)
                count += 1
                began = time.perf_counter_ns()
                try:
                    await channels[number % len(channels)].call(
                        request, CALL_TIMEOUT_S
                    )
                except SnipeleadError as error:
                    errors.append(error.code)
                    continue
                taken_us = (time.perf_counter_ns() - began) // 1_000
                latencies.record_value(taken_us)

        async with trio.open_nursery() as nursery:
            for number in range(clients):
                nursery.start_soon(run_client, number)
            await trio.sleep_until(end)
        for channel in channels:
            await channel.aclose()
    return latencies, errors


def make_claim(client, count):
    """Return a claim of a new key."""
    return ClaimRequest('route', f'{client}-{count}', f'{client}', 'f' * 32)


def report(clients, latencies, errors, seconds, processes):
    """Stop the voters and print one row."""
    usages = []
    for process in processes:
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=STOP_TIMEOUT_S)
        usages.append(msgspec.json.decode(output, type=VoterUsage))
    entries = max(u.entries for u in usages)
    processor_us = [
        round(u.processor_s * 1e6 / max(entries, 1)) for u in usages
    ]
    if not clients:
        loads = [f'{u.processor_s / seconds:.2%}' for u in usages]
        print(f'idle: share of a core {loads}')
        return
    print(
        f'{clients} clients: {latencies.get_total_count() / seconds:.0f}/s,'
        f' p50 {latencies.get_value_at_percentile(50) / 1000:.1f} ms,'
        f' p99 {latencies.get_value_at_percentile(99) / 1000:.1f} ms,'
        f' errors {len(errors)}, processor us per entry {processor_us},'
        f' memory MB {[round(u.memory_mb) for u in usages]}'
    )


def measure_voters(clients, seconds):
    """Measure claims from a number of concurrent clients."""
    with tempfile.TemporaryDirectory() as folder:
        with start_voters(folder) as (all_settings, processes):
            latencies, errors = trio.run(
                measure, all_settings, make_claim, clients, seconds
            )
            report(clients, latencies, errors, seconds, processes)


def measure_state():
    """Print bytes and encoding time of claims and releases."""
    state = State()
    for number in range(10_000):
        key, claim_id, digest = (os.urandom(16).hex() for _ in range(3))
        request = ClaimRequest('route', key, claim_id, digest)
        command = encode_command(Claim(request))
        state.apply(Entry(number, 1, 1_000, command))
    print_state('10000 claims', state, 10_000)
    state = State()
    for number in range(1, 601):
        command = encode_command(Submit(make_note(number)))
        state.apply(Entry(number, 1, 1_000, command))
    print_state('600 releases', state, 600)


def print_state(name, state, count):
    """Print the size of an encoded state."""
    began = time.perf_counter()
    data = state.encode()
    taken_ms = (time.perf_counter() - began) * 1_000
    print(
        f'state of {name}: {len(data)} bytes, {len(data) / count:.0f} each,'
        f' encoded in {taken_ms:.1f} ms'
    )


def main():
    """Measure all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--serve')
    parser.add_argument('--seconds', type=float, default=5)
    options = parser.parse_args()
    configure_logs(level='critical')
    if options.serve:
        data = Path(options.serve).read_bytes()
        trio.run(serve, msgspec.json.decode(data, type=ControlSettings))
        return
    for clients in (0, 1, 10, 100):
        measure_voters(clients, options.seconds)
    measure_state()


if __name__ == '__main__':
    main()
