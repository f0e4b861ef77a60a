"""Benchmark of the call path under load and faults.

Nodes and emulated targets run as tasks of one process. Claims are granted in
memory, and the benchmark fills the target directories. With the virtual
clock, time advances only while all tasks wait, so that results depend on the
policy and not on the speed of the machine. The hot path benchmark measures
the latency and CPU time that nodes add on a real machine.
"""

import time

from msgspec import Struct
import trio
from trio.testing import MockClock

from snipelead.bench.cases import Case
from snipelead.bench.cases import CASES
from snipelead.bench.cases import FAULT_START_FRACTION
from snipelead.bench.cluster import CallCluster
from snipelead.bench.deployments import Deployment
from snipelead.bench.deployments import DEPLOYMENTS
from snipelead.bench.options import parse_choices
from snipelead.bench.options import parse_number
from snipelead.bench.options import with_defaults
from snipelead.bench.policies import BenchPolicy
from snipelead.bench.policies import POLICIES
from snipelead.emulator.load import OpenLoop
from snipelead.emulator.recorder import Audit
from snipelead.emulator.recorder import CallOutcome
from snipelead.emulator.recorder import Recorder
from snipelead.logs import configure_logs
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Interval
from snipelead.utils.validation import Options

__all__ = ['OPTIONS', 'CaseResult', 'measure', 'run']

OPTIONS = {
    'deployment': (
        'feriasoft',
        'deployment preset: ' + ', '.join(DEPLOYMENTS),
    ),
    'case': ('all', 'all, or a comma-separated list of: ' + ', '.join(CASES)),
    'policy': (
        'default',
        'all, or a comma-separated list of: ' + ', '.join(POLICIES),
    ),
    'seconds': ('2', 'duration of the arrivals of each case, in seconds'),
    'seed': ('1', 'seed of arrivals, random choices and service times'),
    'clock': ('virtual', 'virtual or wall'),
}
BENCH = 'bench calls'
SECONDS = Interval(float, 0.1, 3_600.0)


class CallsOptions(Struct, frozen=True, kw_only=True):
    """Validated options.

    Parameters
    ----------
    deployment : Deployment
        Deployment to emulate.
    cases : list of Case
        Cases to run.
    policies : list of BenchPolicy
        Policies to run each case with.
    seconds : float
        Length of the period in which calls arrive, in seconds.
    seed : int
        Seed of all random numbers.
    clock : {'virtual', 'wall'}
        Clock of the tasks.
    """

    deployment: Deployment
    cases: list[Case]
    policies: list[BenchPolicy]
    seconds: float
    seed: int
    clock: str


class CaseResult(Struct):
    """Result of one case with one policy.

    Parameters
    ----------
    case, policy : str
        Name of the case and of the policy.
    recorder : Recorder
        Recorded calls.
    audit : Audit
        Comparison of the calls with the run logs.
    seconds : float
        Length of the period in which calls arrived, in seconds of the
        chosen clock.
    cpu_s : float
        CPU time of the whole process, in seconds.
    """

    case: str
    policy: str
    recorder: Recorder
    audit: Audit
    seconds: float
    cpu_s: float


async def measure(deployment, case, policy, seconds, seed):
    """Run one case with one policy.

    Parameters
    ----------
    deployment : Deployment
        Deployment to emulate.
    case : Case
        Load and fault.
    policy : BenchPolicy
        Policy of the call path.
    seconds : float
        Length of the period in which calls arrive, in seconds.
    seed : int
        Seed of all random numbers.

    Returns
    -------
    CaseResult
    """
    cpu_start_s = time.process_time()
    cluster = CallCluster(deployment, seed, policy, case.relayed)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        load = OpenLoop(
            cluster.caller_addresses(),
            case.kinds(deployment),
            deployment.capacity_per_s * case.load,
            seconds,
            seed,
        )
        if case.fault is not None:
            nursery.start_soon(
                _inject_fault, case, cluster, seconds * FAULT_START_FRACTION
            )
        recorder = await load.run()
        audit = recorder.audit(cluster.runs())
        nursery.cancel_scope.cancel()
    cpu_s = time.process_time() - cpu_start_s
    return CaseResult(case.name, policy.name, recorder, audit, seconds, cpu_s)


async def _inject_fault(case, cluster, after_s):
    await trio.sleep(after_s)
    await case.fault(cluster)


def render(result):
    """Return the report of a result as a list of lines."""
    recorder, audit = result.recorder, result.audit
    lines = [
        f'case {result.case}, policy {result.policy}:'
        f' {len(recorder.calls)} calls in {result.seconds:g} s,'
        f' processor {result.cpu_s:.1f} s',
        '  class        tenant      goodput/s  done% refused%  other%'
        '   p50 ms   p99 ms p99.9 ms',
    ]
    lines += [_render_group(result, group) for group in recorder.groups()]
    codes = ', '.join(
        f'{code} {count}'
        for code, count in sorted(recorder.code_counts.items())
    )
    lines.append(
        f'  doubled {len(audit.duplicated)}, lost {len(audit.lost)},'
        f' untrue refusals {len(audit.misreported)},'
        f' wrong answers {len(audit.invalid)},'
        f' repeated (allowed) {audit.repeated}; codes: {codes or "none"}'
    )
    return lines


def _render_group(result, group):
    recorder = result.recorder
    counts = {
        outcome: recorder.outcome_counts[(*group, outcome)]
        for outcome in CallOutcome
    }
    total = sum(counts.values())
    done = counts[CallOutcome.DONE]
    refused = counts[CallOutcome.REFUSED]
    quantiles = ' '.join(
        f'{recorder.percentile_ms(group, percent):8.1f}'
        for percent in (50, 99, 99.9)
    )
    return (
        f'  {group[0]:<12} {group[1]:<10} {done / result.seconds:10.1f}'
        f' {100 * done / total:6.1f} {100 * refused / total:8.1f}'
        f' {100 * (total - done - refused) / total:7.1f} {quantiles}'
    )


def _parse_choices(name, text, known):
    if text == 'all':
        return list(known.values())
    return [known[part] for part in parse_choices(BENCH, name, text, known)]


def _read_options(options):
    values = with_defaults(OPTIONS, options)
    check_parameters(
        BENCH,
        values,
        {
            'deployment': [Options(tuple(DEPLOYMENTS))],
            'clock': [Options(('virtual', 'wall'))],
        },
    )
    return CallsOptions(
        deployment=DEPLOYMENTS[values['deployment']],
        cases=_parse_choices('case', values['case'], CASES),
        policies=_parse_choices('policy', values['policy'], POLICIES),
        seconds=parse_number(BENCH, 'seconds', values['seconds'], SECONDS),
        seed=parse_number(BENCH, 'seed', values['seed'], Interval(int, 0)),
        clock=values['clock'],
    )


def _run_case(checked_options, case, policy):
    is_virtual = checked_options.clock == 'virtual'
    return trio.run(
        measure,
        checked_options.deployment,
        case,
        policy,
        checked_options.seconds,
        checked_options.seed,
        clock=MockClock(autojump_threshold=0) if is_virtual else None,
    )


def _describe(checked_options):
    deployment = checked_options.deployment
    return (
        f'{deployment.name}: {sum(deployment.services.values())} targets with'
        f' {deployment.slots} slots, mean service time'
        f' {deployment.service_time_ms:g} ms, capacity'
        f' {deployment.capacity_per_s:.0f} calls/s;'
        f' {checked_options.clock} clock, seed {checked_options.seed}'
    )


def run(options):
    """Run the benchmark and print its results.

    Parameters
    ----------
    options : dict of str to str
        Values that differ from the defaults in :data:`OPTIONS`.

    Returns
    -------
    list of CaseResult

    Raises
    ------
    InvalidParameterError
        If a value is not allowed.
    """
    checked_options = _read_options(options)
    # Log events of all nodes would obscure the tables.
    configure_logs(level='error')
    print(_describe(checked_options))
    results = []
    for case in checked_options.cases:
        print(f'-- {case.name}: {case.description}')
        for policy in checked_options.policies:
            results.append(_run_case(checked_options, case, policy))
            print('\n'.join(render(results[-1])), flush=True)
    return results
