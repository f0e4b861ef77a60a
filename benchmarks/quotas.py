"""Rate limits of customers on a simulated fleet, beside simpler ways.

Usage: ``python -m benchmarks.quotas``. The nodes run the code of the product
on a simulated clock; only the calls between node and control are replaced by
delays. The figures of the load are those of ``docs/design/hard-load.md``.
"""

from bisect import bisect_right
from collections import Counter
from collections import defaultdict
import random

from msgspec import Struct
import trio

from snipelead.quotas.budget import QuotaBudget
from snipelead.quotas.exceptions import QuotaExceededError
from snipelead.quotas.exceptions import QuotaUnavailableError
from snipelead.quotas.granter import QuotaGranter
from snipelead.quotas.manager import QuotaManager
from snipelead.releases.document import Customer
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.settings.schema import Guarantees
from snipelead.testing.simulation import run_simulated

__all__ = ['Load', 'Outcome', 'make_arrivals', 'make_customers', 'run_fleet']

NODES = 90
CUSTOMERS = 86
REQUESTS_PER_S = 934.0
SHARE_EXPONENT = 1.2
LIMIT_RATIO = 1.6
# One way, between zones and over the leader.
LATENCY_S = 0.003
GUARANTEES = Guarantees(
    quota_window_ms=5_000, quota_overage=0.1, quota_extra=20.0
)
# Time before the burst, in which the granter has left its takeover.
CALM_S = 6.0


class Load(Struct, frozen=True):
    """Load of one run.

    Parameters
    ----------
    name : str
        Name in the report.
    hot : int
        Rank of the customer that sends more than usual, from 0.
    factor : float
        Multiple of its usual rate.
    place : str
        Where its requests enter: ``spread``, ``single`` or ``moving``.
    seconds : float
        Duration of the burst.
    """

    name: str
    hot: int
    factor: float
    place: str = 'spread'
    seconds: float = 5.0


class Outcome(Struct):
    """Result of a run.

    Parameters
    ----------
    offered, admitted, ideal : Counter
        Requests by customer: sent, admitted, and admitted by one exact token
        bucket.
    worst : float
        Largest share of the bound that a customer used in a window.
    messages_per_s : float
        Messages of a node per second, on average.
    waits_s : list of float
        Time until admission.
    """

    offered: Counter
    admitted: Counter
    ideal: Counter
    worst: float = 0.0
    messages_per_s: float = 0.0
    waits_s: list = []

    def wrongly_refused(self, name=None):
        """Return the share of requests within the limit that were refused."""
        names = [name] if name else list(self.ideal)
        missing = sum(max(0, self.ideal[n] - self.admitted[n]) for n in names)
        return missing / max(1, sum(self.ideal[n] for n in names))

    def wait_quantile(self, share):
        """Return a quantile of the time until admission, in seconds."""
        waits = sorted(self.waits_s)
        return waits[int(share * (len(waits) - 1))] if waits else 0.0


def make_customers():
    """Return the customers, the largest first, and their usual rates."""
    weights = [(k + 1) ** -SHARE_EXPONENT for k in range(CUSTOMERS)]
    rates = [REQUESTS_PER_S * w / sum(weights) for w in weights]
    customers = [
        Customer(
            f'customer-{k}',
            rate_per_s=LIMIT_RATIO * rate,
            burst=LIMIT_RATIO * rate,
        )
        for k, rate in enumerate(rates)
    ]
    return customers, rates


def make_arrivals(load, seed):
    """Return the requests as sorted tuples of time, customer and node."""
    rng = random.Random(seed)
    customers, rates = make_customers()
    end_s = CALM_S + load.seconds
    arrivals = []
    for rank, (customer, rate) in enumerate(
        zip(customers, rates, strict=True)
    ):
        time_s = 0.0
        while True:
            is_hot = rank == load.hot and time_s >= CALM_S
            time_s += rng.expovariate(rate * (load.factor if is_hot else 1))
            if time_s > end_s:
                break
            node = rng.randrange(NODES)
            if rank == load.hot and load.place == 'single':
                node = 0
            if rank == load.hot and load.place == 'moving':
                node = int(time_s) % NODES
            arrivals.append((time_s, customer, node))
    arrivals.sort(key=lambda arrival: arrival[0])
    return arrivals


class _Bucket:
    """Exact token bucket."""

    def __init__(self, rate_per_s, burst):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = burst
        self.updated_at = 0.0

    def take(self, now):
        self.level = min(
            self.burst,
            self.level + (now - self.updated_at) * self.rate_per_s,
        )
        self.updated_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


def _count_buckets(arrivals, make_bucket, get_key):
    """Return the requests that buckets admit, as times by customer."""
    buckets = {}
    times = defaultdict(list)
    for time_s, customer, node in arrivals:
        key = get_key(customer, node)
        if key not in buckets:
            buckets[key] = make_bucket(customer)
        if buckets[key].take(time_s):
            times[customer.name].append(time_s)
    return times


def _ideal(arrivals):
    return _count_buckets(
        arrivals,
        lambda c: _Bucket(c.rate_per_s, c.burst),
        lambda customer, node: customer.name,
    )


def _worst_share(times, budget, customers):
    """Return the largest share of the bound used in any window."""
    worst = 0.0
    for customer in customers:
        runs = times.get(customer.name, [])
        for index, start in enumerate(runs):
            count = bisect_right(runs, start + budget.window_s) - index
            worst = max(worst, count / budget.bound(customer))
    return worst


def _make_outcome(arrivals, times):
    customers, _ = make_customers()
    return Outcome(
        Counter(customer.name for _, customer, _ in arrivals),
        Counter({name: len(t) for name, t in times.items()}),
        Counter({name: len(t) for name, t in _ideal(arrivals).items()}),
        _worst_share(
            times, QuotaBudget.of_guarantees(GUARANTEES, 3), customers
        ),
    )


def run_static(arrivals, least_burst=0.0):
    """Return the outcome of an equal share of each limit for each node.

    Parameters
    ----------
    arrivals : list of tuple
        Requests.
    least_burst : float
        Least burst of a node; with 1 a node can admit any request at all, but
        the bound does not hold.
    """
    budget = QuotaBudget.of_guarantees(GUARANTEES)
    times = _count_buckets(
        arrivals,
        lambda c: _Bucket(
            c.rate_per_s / NODES,
            max(least_burst, (c.burst + budget.tolerance(c)) / NODES),
        ),
        lambda customer, node: (customer.name, node),
    )
    return _make_outcome(arrivals, times)


class _Control:
    """Control as the nodes' links show it, which is also the leader.

    Attributes
    ----------
    reachable : bool
        Whether calls succeed.
    granter : QuotaGranter
        Granter that is asked; it may be replaced.
    """

    def __init__(self, granter, customers):
        self.granter = granter
        self.customers = customers
        self.reachable = True
        self.message_count = 0

    @property
    def calls(self):
        return self

    def failover_order(self):
        return [self]

    async def call(self, request, timeout_s):
        self.message_count += 1
        if not self.reachable:
            raise RpcUnreachableError('the control is cut off')
        await trio.sleep(LATENCY_S)
        reply = self.granter.handle(
            request, self.customers, trio.current_time()
        )
        await trio.sleep(LATENCY_S)
        return reply


class _NodeSettings(Struct):
    node_id: str
    guarantees: Guarantees = GUARANTEES


async def _request(manager, customer, times, waits_s):
    started_at = trio.current_time()
    try:
        await manager.admit(customer)
    except (QuotaExceededError, QuotaUnavailableError):
        return
    now = trio.current_time()
    times[customer.name].append(now)
    waits_s.append(now - started_at)


async def _run_fleet(arrivals, change):
    customers = {c.name: c for c in make_customers()[0]}
    budget = QuotaBudget.of_guarantees(GUARANTEES, 3)
    # Starts long ago, so that no earlier granter matters.
    start = trio.current_time()
    control = _Control(QuotaGranter('1', budget, start - 100.0), customers)
    times = defaultdict(list)
    waits_s = []
    managers = [
        QuotaManager(_NodeSettings(f'n{index}'), control, lambda: 1)
        for index in range(NODES)
    ]
    async with trio.open_nursery() as nursery:
        for manager in managers:
            nursery.start_soon(manager.run)
        async with trio.open_nursery() as requests:
            if change is not None:
                requests.start_soon(change, control)
            for time_s, customer, node in arrivals:
                if start + time_s > trio.current_time():
                    await trio.sleep_until(start + time_s)
                requests.start_soon(
                    _request, managers[node], customer, times, waits_s
                )
        nursery.cancel_scope.cancel()
    outcome = _make_outcome(arrivals, times)
    outcome.waits_s = waits_s
    outcome.messages_per_s = control.message_count / NODES / arrivals[-1][0]
    return outcome


def run_fleet(arrivals, change=None, seed=0):
    """Return the outcome of the product's own code.

    Parameters
    ----------
    arrivals : list of tuple
        Requests.
    change : callable or None
        Coroutine function of the control that runs during the load.
    seed : int
        Seed of the order in which tasks run.
    """
    return run_simulated(lambda: _run_fleet(arrivals, change), seed)


def fail_over(at_s):
    """Return a change that replaces the leader during the load."""

    async def change(control):
        await trio.sleep(at_s)
        control.granter = QuotaGranter(
            '2', control.granter.budget, trio.current_time()
        )

    return change


LOADS = (
    Load('usual load', CUSTOMERS, 1.0),
    Load('largest customer, 4 times', 0, 4.0),
    Load('largest customer, 7.5 times', 0, 7.5),
    Load('10th customer, 7.5 times', 9, 7.5),
    Load('10th customer, 7.5 times, one node', 9, 7.5, 'single'),
    Load('10th customer, 7.5 times, moving', 9, 7.5, 'moving'),
    Load('30th customer, 7.5 times, one node', 29, 7.5, 'single'),
)


def _print_row(name, way, outcome, hot):
    hot_share = f'{outcome.wrongly_refused(hot):.4f}' if hot else '-'
    print(
        f'| {name} | {way} | {outcome.wrongly_refused():.4f} |'
        f' {hot_share} |'
        f' {outcome.worst:.3f} | {outcome.messages_per_s:.2f} |'
        f' {outcome.wait_quantile(0.5) * 1e3:.0f} /'
        f' {outcome.wait_quantile(0.99) * 1e3:.0f} |',
        flush=True,
    )


def main():
    """Print the table of the design note."""
    for load in LOADS:
        arrivals = make_arrivals(load, seed=1)
        hot = f'customer-{load.hot}' if load.hot < CUSTOMERS else None
        for way, outcome in (
            ('static shares', run_static(arrivals)),
            ('static, at least 1', run_static(arrivals, 1.0)),
            ('granted parts', run_fleet(arrivals)),
        ):
            _print_row(load.name, way, outcome, hot)
    arrivals = make_arrivals(LOADS[0], seed=1)
    outcome = run_fleet(arrivals, fail_over(CALM_S))
    _print_row('change of leader', 'granted parts', outcome, None)


if __name__ == '__main__':
    main()
