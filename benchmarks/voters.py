"""Throughput, latency, CPU time and state size of three voters.

The voters run as separate processes with real files; another process loads
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
from snipelead.rpc.grpc import open_grpc_transport
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

CONTROL_IDS = 'abc'
CALL_TIMEOUT_S = 5.0
MAX_LATENCY_US = 60_000_000
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.1
KIB_PER_MIB = 1_024


class VoterUsage(Struct, frozen=True):
    """Resource usage of one voter under load.

    Parameters
    ----------
    processor_s : float
        CPU time in seconds.
    memory_mb : float
        Largest resident memory in MiB.
    entries : int
        Committed entries.
    """

    processor_s: float
    memory_mb: float
    entries: int


def make_settings(directory):
    """Return the settings of all voters; their data is below a directory."""
    peers = tuple(
        Peer(control_id=label, zone=label, address=address)
        for label, address in zip(
            CONTROL_IDS, find_free_addresses(len(CONTROL_IDS)), strict=True
        )
    )
    return [
        ControlSettings(
            control_id=peer.control_id,
            zone=peer.zone,
            address=peer.address,
            operator_address='127.0.0.1:0',
            data_dir=str(Path(directory) / peer.control_id),
            peers=peers,
        )
        for peer in peers
    ]


def read_own_cpu_s():
    """Return the user and system CPU time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def run_voter(settings):
    """Run one voter until SIGTERM; then print its resource usage as JSON."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async with (
            open_grpc_transport() as transport,
            trio.open_nursery() as nursery,
        ):
            voter = Voter(settings, transport)
            await nursery.start(voter.run)
            await nursery.start(
                transport.serve, settings.address, voter.handlers()
            )
            while not await voter.certify():
                await trio.sleep(READY_POLL_INTERVAL_S)
            start_cpu_s = read_own_cpu_s()
            async for _ in signals:
                break
            usage = resource.getrusage(resource.RUSAGE_SELF)
            voter_usage = VoterUsage(
                read_own_cpu_s() - start_cpu_s,
                usage.ru_maxrss / KIB_PER_MIB,
                voter.replica.journal.commit_index,
            )
            print(msgspec.json.encode(voter_usage).decode(), flush=True)
            nursery.cancel_scope.cancel()


@contextmanager
def start_voters(directory):
    """Start a process for each voter and kill all of them at the end.

    Yields
    ------
    all_settings : list of ControlSettings
        Settings of each voter.
    processes : list of Popen
        Process of each voter.
    """
    all_settings = make_settings(directory)
    processes = []
    for settings in all_settings:
        path = Path(directory) / f'{settings.control_id}.json'
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
    """Wait until a voter is certified to be current."""
    with trio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                if (await channel.call(CertifyRequest(), 2.0)).certified:
                    return
            except SnipeleadError:
                pass
            await trio.sleep(0.2)


async def run_clients(all_settings, make_request, clients, seconds):
    """Send requests from concurrent clients.

    Returns
    -------
    latencies : HdrHistogram
        Latencies of successful requests in microseconds.
    error_codes : list of str
        Codes of the errors of failed requests.
    """
    latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
    error_codes = []
    async with open_grpc_transport() as transport:
        channels = [
            transport.connect(settings.address) for settings in all_settings
        ]
        for channel in channels:
            await wait_ready(channel)
        end = trio.current_time() + seconds

        async def run_client(number):
            count = 0
            while trio.current_time() < end:
                request = make_request(number, count)
                count += 1
                start_ns = time.perf_counter_ns()
                try:
                    await channels[number % len(channels)].call(
                        request, CALL_TIMEOUT_S
                    )
                except SnipeleadError as error:
                    error_codes.append(error.code)
                    continue
                latency_us = (time.perf_counter_ns() - start_ns) // 1_000
                latencies.record_value(latency_us)

        async with trio.open_nursery() as nursery:
            for number in range(clients):
                nursery.start_soon(run_client, number)
            await trio.sleep_until(end)
        for channel in channels:
            await channel.aclose()
    return latencies, error_codes


def make_claim(client, count):
    """Return a claim of a key that was not claimed before."""
    return ClaimRequest('route', f'{client}-{count}', f'{client}', 'f' * 32)


def print_report(clients, latencies, error_codes, seconds, processes):
    """Stop the voters and print one line of results."""
    usages = []
    for process in processes:
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=STOP_TIMEOUT_S)
        usages.append(msgspec.json.decode(output, type=VoterUsage))
    entries = max(usage.entries for usage in usages)
    cpu_us_per_entry = [
        round(usage.processor_s * 1e6 / max(entries, 1)) for usage in usages
    ]
    if not clients:
        core_shares = [
            f'{usage.processor_s / seconds:.2%}' for usage in usages
        ]
        print(f'idle: share of a core {core_shares}')
        return
    print(
        f'{clients} clients: {latencies.get_total_count() / seconds:.0f}/s,'
        f' p50 {latencies.get_value_at_percentile(50) / 1000:.1f} ms,'
        f' p99 {latencies.get_value_at_percentile(99) / 1000:.1f} ms,'
        f' errors {len(error_codes)},'
        f' processor us per entry {cpu_us_per_entry},'
        f' memory MB {[round(usage.memory_mb) for usage in usages]}'
    )


def measure_voters(clients, seconds):
    """Measure claims from concurrent clients and print the results."""
    with tempfile.TemporaryDirectory() as directory:
        with start_voters(directory) as (all_settings, processes):
            latencies, error_codes = trio.run(
                run_clients, all_settings, make_claim, clients, seconds
            )
            print_report(clients, latencies, error_codes, seconds, processes)


def measure_state_sizes():
    """Print the encoded size and encoding time of claims and releases."""
    state = State()
    for number in range(10_000):
        key, claim_id, digest = (os.urandom(16).hex() for _ in range(3))
        request = ClaimRequest('route', key, claim_id, digest)
        command = encode_command(Claim(request))
        state.apply(Entry(number, 1, 1_000, command))
    print_state_size('10000 claims', state, 10_000)
    state = State()
    for number in range(1, 601):
        command = encode_command(Submit(make_note(number)))
        state.apply(Entry(number, 1, 1_000, command))
    print_state_size('600 releases', state, 600)


def print_state_size(label, state, count):
    """Print the size and encoding time of a state."""
    start_s = time.perf_counter()
    data = state.encode()
    encoding_ms = (time.perf_counter() - start_s) * 1_000
    print(
        f'state of {label}: {len(data)} bytes, {len(data) / count:.0f} each,'
        f' encoded in {encoding_ms:.1f} ms'
    )


def main():
    """Run one voter with ``--serve``, otherwise all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--serve')
    parser.add_argument('--seconds', type=float, default=5)
    options = parser.parse_args()
    configure_logs(level='critical')
    if options.serve:
        data = Path(options.serve).read_bytes()
        trio.run(run_voter, msgspec.json.decode(data, type=ControlSettings))
        return
    for clients in (0, 1, 10, 100):
        measure_voters(clients, options.seconds)
    measure_state_sizes()


if __name__ == '__main__':
    main()
