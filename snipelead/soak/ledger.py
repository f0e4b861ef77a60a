"""What callers, targets and operators saw, checked against the promises."""

from bisect import bisect_left
from collections import Counter
from collections import defaultdict
from math import inf

import msgspec

from snipelead.emulator.platform_client import is_not_run_status
from snipelead.soak.disturbances import CORE
from snipelead.soak.disturbances import Disturbances
from snipelead.soak.exceptions import PromiseBrokenError

__all__ = ['Ledger']

# Bounds of the platform, all in seconds.
CONFIG_APPLY_S = 2.0
ROLLBACK_SLACK_S = 0.25
DRAIN_S = 2.0
LOSS_SLACK_S = 0.2
HELD_S = 0.5
BUDGET_WINDOW_S = 10.0
BUDGET_RATIO = 0.2
BUDGET_EXTRA = 64
# A few requests may cross a close or a timeout without that being a fault.
TOLERATED_LATE = 3


class Ledger:
    """Record of a run; a contradiction raises at once or at the end.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    requests : dict of str to RequestRecord
        By attempt id.
    orders : list of OrderRecord
        Releases in the order in which they were sent.
    seen : dict of tuple to (int, float)
        Newest release seen in force in each life of each node, and when.
    counts : Counter
        How often each thing was seen.
    """

    def __init__(self, clock):
        self.clock = clock
        self.requests = {}
        self.orders = []
        self.seen = {}
        self.left_at = {}
        self.arrivals = defaultdict(list)
        self.first_sends = defaultdict(list)
        self.late = []
        self.counts = Counter()
        self.disturbances = Disturbances()
        self.broken = []

    def fail(self, rule, text):
        """Record a broken promise; the run ends with the first."""
        error = PromiseBrokenError(f'{rule} at {self.clock():.2f} s: {text}')
        self.broken.append(error)
        raise error

    # Releases

    def floor_at(self, moment):
        """Return the newest release that was acknowledged by a moment."""
        return max(
            (o.number for o in self.orders if o.acked_at <= moment), default=0
        )

    def possible_orders(self, floor, until):
        """Return the orders that may be in force, the floor or newer."""
        return [
            o
            for o in self.orders
            if o.number >= floor
            and o.sent_at <= until
            and o.valid
            and not o.refused
        ]

    def note_order_answer(self, order, status):
        """Take the answer to an order, or 0 for none."""
        now = self.clock()
        self.counts[f'order {status}'] += 1
        if status == 200:
            if not order.valid:
                self.fail('CONFIG', f'invalid {order.number} acknowledged')
            if order.refused:
                self.fail('CONFIG', f'{order.number} refused and then taken')
            rivals = [
                o.number
                for o in self.orders
                if o is not order and o.base == order.base and o.acked_at < inf
            ]
            if rivals:
                self.fail(
                    'CONFIG',
                    f'{order.number} and {rivals} acknowledged on'
                    f' {order.base}',
                )
            order.acked_at = min(order.acked_at, now)
        elif 400 <= status < 500 and status not in (408, 429):
            if order.acked_at < inf:
                self.fail('CONFIG', f'resend of {order.number} got {status}')
            order.refused = True

    def note_read(self, sent_at, number, body):
        """Take a release that was read back.

        Parameters
        ----------
        sent_at : float
            When it was asked for.
        number : int
            Its number; 0 when there is none yet.
        body : bytes
            The release.
        """
        self.counts['read'] += 1
        floor = self.floor_at(sent_at - CONFIG_APPLY_S)
        if number < floor:
            self.fail('CONFIG', f'{number} read after {floor} was in force')
        if not number:
            return
        read = msgspec.json.decode(body)
        sent = [
            o
            for o in self.orders
            if o.number == number and msgspec.json.decode(o.body) == read
        ]
        if not sent:
            self.fail('CONFIG', f'{number} read, which nobody sent: {read}')
        if all(o.refused or not o.valid for o in sent):
            self.fail('CONFIG', f'{number} read, which was refused')

    def note_probe(self, record, number, found):
        """Take whether a route that only one release has was found."""
        now = self.clock()
        node, life, sent_at = record.node, record.life, record.sent_at
        calm = self.disturbances.is_calm((node, CORE), sent_at, now)
        if not found:
            floor = self.floor_at(sent_at - CONFIG_APPLY_S)
            newer = [o for o in self.orders if o.number >= number][1:]
            if calm and floor == number and not newer:
                self.fail('CONFIG', f'{node} does not run {number} yet')
            return
        known, seen_at = self.seen.get((node, life), (0, 0.0))
        if number < known and sent_at > seen_at + ROLLBACK_SLACK_S:
            self.fail('CONFIG', f'{node} runs {number} after {known}')
        if number > known:
            self.seen[node, life] = (number, now)
        floor = self.floor_at(sent_at - CONFIG_APPLY_S)
        if calm and number < floor:
            self.fail('CONFIG', f'{node} runs {number} though {floor} holds')

    # Requests

    def note_sent(self, record, services):
        """Record a request that is about to be sent to some service."""
        self.requests[record.attempt_id] = record
        for service in services:
            self.first_sends[service].append(record.sent_at)

    def note_run(self, told, run):
        """Take a request that a target begins to run.

        Parameters
        ----------
        told : RunRequest
            What the target was told of the request.
        run : Run
            The target and the moment.
        """
        self.counts['run'] += 1
        attempt_id = told.attempt_id
        record = self.requests.get(attempt_id)
        if record is None or record.path != told.path:
            self.fail('UNASKED', f'{run.target} runs {told}')
        if record.origin != told.origin:
            self.fail('UNASKED', f'{told} was not sent from there')
        if told.left_ms > (record.deadline_s + HELD_S) * 1_000:
            self.fail('BUDGET', f'{told} has more time than its client')
        self.arrivals[run.service].append(run.at)
        record.runs.append(run)
        self._check_runs(record)
        left_at = self.left_at.get(run.target, inf)
        # The acknowledgement binds whatever happens to the node meanwhile.
        if run.at > left_at + DRAIN_S:
            self.fail('DRAIN', f'{run.target} runs {attempt_id} after leaving')
        if record.gone and run.at > record.ended_at + HELD_S:
            self._note_late('GONE', record, run.at)
        self._check_route(record, run)

    def _check_runs(self, record):
        runs = len(record.runs)
        if not record.repeatable and runs > 1:
            self.fail('TWICE', f'{record.attempt_id} ran {record.runs}')
        refused = is_not_run_status(record.status)
        if runs and refused and not record.repeatable:
            self.fail(
                'REFUSED',
                f'{record.attempt_id} got {record.status} and ran'
                f' {record.runs}',
            )

    def _check_route(self, record, run):
        calm = self.disturbances.is_calm(
            (record.node, CORE), record.sent_at, run.at
        )
        moment = record.sent_at - CONFIG_APPLY_S if calm else -inf
        allowed = {
            o.targets_of.get(record.prefix)
            for o in self.possible_orders(self.floor_at(moment), run.at)
        }
        if run.service not in allowed:
            rule = 'CONFIG' if calm else 'ROUTE'
            self.fail(
                rule, f'{record.path} ran at {run.service}, not {allowed}'
            )

    def note_reply(self, record, reply):
        """Take the answer to a request."""
        record.ended_at = self.clock()
        record.status = reply.status
        self.counts[f'status {reply.status}'] += 1
        if reply.status == 200:
            expected = f'answer to {record.attempt_id}'.encode()
            if reply.body != expected or not reply.sealed or not record.runs:
                self.fail('MIXED', f'{record.attempt_id} got {reply.body!r}')
        elif reply.sealed and not record.runs:
            self.fail('MIXED', f'{record.attempt_id} got a foreign failure')
        self._check_runs(record)
        self._check_denied(record)
        if record.ended_at > record.sent_at + record.timeout_s + HELD_S:
            self._note_late('CONFIG', record, record.ended_at)

    def _check_denied(self, record):
        if 400 <= record.status < 500 and not is_not_run_status(record.status):
            names = (record.node, CORE)
            ways = self.possible_orders(
                self.floor_at(record.sent_at - CONFIG_APPLY_S), record.ended_at
            )
            if all(record.prefix in o.targets_of for o in ways) and ways:
                calm = self.disturbances.is_calm(
                    names, record.sent_at, record.ended_at
                )
                self.counts[f'denied, calm {calm}'] += 1
                self.fail(
                    'DENIED', f'{record.path} got {record.status}, calm {calm}'
                )

    def _note_late(self, rule, record, at):
        if not self.disturbances.is_all_calm(record.sent_at, at):
            return
        self.counts[f'late {rule}'] += 1
        if self.counts[f'late {rule}'] > TOLERATED_LATE:
            self.fail(rule, f'{record.attempt_id} is one of many too late')

    def note_lost(self, record, calm):
        """Take a connection that ended without an answer to a request.

        Parameters
        ----------
        record : RequestRecord
            The request.
        calm : bool
            Whether at most a planned stop can have been the reason.
        """
        record.ended_at = self.clock()
        self.counts['lost'] += 1
        if not calm:
            return
        ran = bool(record.runs)
        if ran or record.ended_at > record.sent_at + LOSS_SLACK_S:
            self.fail(
                'LOST', f'{record.attempt_id} at {record.node}, ran {ran}'
            )

    def note_left(self, target):
        """Record that a leaving target was acknowledged."""
        self.left_at.setdefault(target, self.clock())

    def check_end(self, current):
        """Check what can be told only at the end.

        Parameters
        ----------
        current : int
            Release that was read back last.
        """
        newest = self.floor_at(self.clock())
        if current < newest:
            self.fail('CONFIG', f'{current} is read at the end, not {newest}')
        for record in self.requests.values():
            self._check_runs(record)
        for service, arrivals in self.arrivals.items():
            self._check_budget(service, sorted(arrivals))

    def _check_budget(self, service, arrivals):
        firsts = sorted(self.first_sends[service])
        for number, begin in enumerate(arrivals):
            end = begin + BUDGET_WINDOW_S
            arrived = bisect_left(arrivals, end) - number
            earlier = [begin, begin - 0.5 * BUDGET_WINDOW_S]
            earlier.append(begin - BUDGET_WINDOW_S)
            asked = max(
                bisect_left(firsts, b + BUDGET_WINDOW_S)
                - bisect_left(firsts, b)
                for b in earlier
            )
            if arrived > asked * (1 + BUDGET_RATIO) + BUDGET_EXTRA:
                self.fail('BUDGET', f'{arrived} arrivals for {asked} requests')
