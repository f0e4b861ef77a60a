"""Bench of the call path under load and faults.

Nodes and stand-in targets run as tasks of one process, with claims granted
in memory and the directory filled by the bench. With the virtual clock,
time passes only while all tasks wait, so that the figures show the policy
and not the machine; what the machine adds is measured by the bench of the
hot path.
"""

import time

from msgspec import Struct
import trio
from trio.testing import MockClock

from snipelead.bench.cases import Case
from snipelead.bench.cases import CASES
from snipelead.bench.cases import FAULT_AT
from snipelead.bench.cluster import CallCluster
from snipelead.bench.deployments import Deployment
from snipelead.bench.deployments import DEPLOYMENTS
from snipelead.bench.options import choose
from snipelead.bench.options import parse_number
from snipelead.bench.options import with_defaults
from snipelead.bench.policies import BenchPolicy
from snipelead.bench.policies import POLICIES
from snipelead.emulator.load import OpenLoop
from snipelead.emulator.recorder import AnswerKind
from snipelead.emulator.recorder import Audit
from snipelead.emulator.recorder import Recorder
from snipelead.logs import configure_logs
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Interval
from snipelead.utils.validation import Options

__all__ = ['OPTIONS', 'CaseResult', 'measure', 'run']

OPTIONS = {
    'deployment': ('feriasoft', 'preset: ' + ', '.join(DEPLOYMENTS)),
    'case': ('all', 'all, or some of: ' + ', '.join(CASES)),
    'policy': ('default', 'all, or some of: ' + ', '.join(POLICIES)),
    'seconds': ('2', 'time during which calls arrive'),
    'seed': ('1', 'seed of arrivals, choices and service times'),
    'clock': ('virtual', 'virtual or wall'),
}
BENCH = 'bench calls'
SECONDS = Interval(float, 0.1, 3_600.0)


class CallsOptions(Struct, frozen=True, kw_only=True):
    """Checked options.

    Parameters
    ----------
    deployment : Deployment
        Sizes.
    cases : list of Case
        Cases to run.
    policies : list of BenchPolicy
        Policies to run each with.
    seconds : float
        Time during which calls arrive.
    seed : int
        Seed of everything random.
    clock : {'virtual', 'wall'}
        Clock that the tasks wait by.
    """

    deployment: Deployment
    cases: list[Case]
    policies: list[BenchPolicy]
    seconds: float
    seed: int
    clock: str


class CaseResult(Struct):
    """What one case measured with one policy.

    Parameters
    ----------
    case, policy : str
        What was run.
    recorder : Recorder
        Calls.
    audit : Audit
        Calls checked against run logs.
    seconds : float
        Time during which calls arrived, on the bench's clock.
    cpu_s : float
        Processor time of the whole process.
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
        Sizes.
    case : Case
        Load and fault.
    policy : BenchPolicy
        Policy of the call path.
    seconds : float
        Time during which calls arrive.
    seed : int
        Seed of everything random.

    Returns
    -------
    CaseResult
    """
    cpu_from = time.process_time()
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
            nursery.start_soon(_cause, case, cluster, seconds * FAULT_AT)
        recorder = await load.run()
        audit = recorder.audit(cluster.runs())
        nursery.cancel_scope.cancel()
    cpu_s = time.process_time() - cpu_from
    return CaseResult(case.name, policy.name, recorder, audit, seconds, cpu_s)


async def _cause(case, cluster, after_s):
    await trio.sleep(after_s)
    await case.fault(cluster)


def render(result):
    """Return the lines that report a result."""
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
    count = {
        kind: recorder.outcome_counts[(*group, kind)] for kind in AnswerKind
    }
    total = sum(count.values())
    done = count[AnswerKind.DONE]
    refused = count[AnswerKind.REFUSED]
    quantiles = ' '.join(
        f'{recorder.percentile_ms(group, q):8.1f}' for q in (50, 99, 99.9)
    )
    return (
        f'  {group[0]:<12} {group[1]:<10} {done / result.seconds:10.1f}'
        f' {100 * done / total:6.1f} {100 * refused / total:8.1f}'
        f' {100 * (total - done - refused) / total:7.1f} {quantiles}'
    )


def _choose(name, text, known):
    if text == 'all':
        return list(known.values())
    return [known[part] for part in choose(BENCH, name, text, known)]


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
        cases=_choose('case', values['case'], CASES),
        policies=_choose('policy', values['policy'], POLICIES),
        seconds=parse_number(BENCH, 'seconds', values['seconds'], SECONDS),
        seed=parse_number(BENCH, 'seed', values['seed'], Interval(int, 0)),
        clock=values['clock'],
    )


def _run_case(checked, case, policy):
    virtual = checked.clock == 'virtual'
    return trio.run(
        measure,
        checked.deployment,
        case,
        policy,
        checked.seconds,
        checked.seed,
        clock=MockClock(autojump_threshold=0) if virtual else None,
    )


def _describe(checked):
    deployment = checked.deployment
    return (
        f'{deployment.name}: {sum(deployment.services.values())} targets with'
        f' {deployment.slots} slots, mean service time'
        f' {deployment.service_time_ms:g} ms, capacity'
        f' {deployment.capacity_per_s:.0f} calls/s; {checked.clock} clock,'
        f' seed {checked.seed}'
    )


def run(options):
    """Run the bench and print its results.

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
    checked = _read_options(options)
    # The events of a dozen nodes would bury the tables.
    configure_logs(level='error')
    print(_describe(checked))
    results = []
    for case in checked.cases:
        print(f'-- {case.name}: {case.about}')
        for policy in checked.policies:
            results.append(_run_case(checked, case, policy))
            print('\n'.join(render(results[-1])), flush=True)
    return results
