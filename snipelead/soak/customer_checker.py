"""Checks the API keys and the rate limits of customers."""

from bisect import bisect_right

from snipelead.soak.customers import LIMITED_CUSTOMER
from snipelead.soak.customers import max_runs_in_window
from snipelead.soak.customers import QUOTA_WINDOW_S
from snipelead.soak.customers import REVOCATION_S
from snipelead.soak.routes import MARKER_ROUTE
from snipelead.soak.routes import ROUTES

__all__ = ['CustomerChecker']


class CustomerChecker:
    """Checks the rules CUSTOMER, REVOKED, QUOTA and DENIED for API keys.

    Nothing is checked while no release has customers.

    Parameters
    ----------
    checker : HistoryChecker
        Reports violations; gives the releases.

    Attributes
    ----------
    limited_runs : list of float
        Times at which requests of the limited customer began to run.
    """

    def __init__(self, checker):
        self.checker = checker
        self.limited_runs = []

    def record_execution(self, target_request, record, execution):
        """Check the customer of a request that a target begins to execute.

        Parameters
        ----------
        target_request : StartedRequest
            Request as the target received it.
        record : RequestRecord
            Request as the client sent it.
        execution : Execution
            Target and time of the execution.
        """
        if not any(r.holders_by_key for r in self.checker.releases):
            return
        if target_request.api_keys:
            self.checker.fail(
                'CUSTOMER',
                f'{execution.target} got the key {target_request.api_keys}'
                f' of {record.attempt_id}',
            )
        holder = None
        if not _is_public(record):
            holder = self._find_holder(record)
            self._check_revocation(record, execution)
        expected = () if holder is None else (holder,)
        if target_request.customers != expected:
            self.checker.fail(
                'CUSTOMER',
                f'{execution.target} got the customers'
                f' {target_request.customers} with {record.attempt_id},'
                f' expected: {expected}',
            )
        if holder == LIMITED_CUSTOMER.name:
            self.limited_runs.append(execution.at)

    def _find_holder(self, record):
        holders = [
            r.holders_by_key[record.api_key]
            for r in self.checker.releases
            if record.api_key in r.holders_by_key
        ]
        if not holders:
            self.checker.fail(
                'CUSTOMER',
                f'{record.attempt_id} was executed with the key'
                f' {record.api_key!r}, which no release held',
            )
        return holders[0]

    def _check_revocation(self, record, execution):
        floor = self.checker.acknowledged_floor(record.sent_at - REVOCATION_S)
        candidates = self.checker.admissible_releases(floor, execution.at)
        if not any(record.api_key in r.holders_by_key for r in candidates):
            self.checker.fail(
                'REVOKED',
                f'{record.attempt_id}, sent to {record.node} at'
                f' {record.sent_at:.2f} s, was executed by'
                f' {execution.target} with the key {record.api_key!r}, which'
                f' no release since {floor} holds',
            )

    def check_denial(self, record):
        """Check a response that denies a request for its API key.

        Parameters
        ----------
        record : RequestRecord
            The request.
        """
        if _is_public(record) or all(
            record.api_key in r.holders_by_key for r in self.checker.releases
        ):
            self.checker.fail(
                'DENIED',
                f'{record.path} got status {record.status} with the key'
                f' {record.api_key!r}',
            )

    def check_end(self):
        """Check the rate limit in each window of the run."""
        runs = sorted(self.limited_runs)
        # A window that begins with a run has the most runs.
        highest = max(
            (
                bisect_right(runs, since + QUOTA_WINDOW_S) - number
                for number, since in enumerate(runs)
            ),
            default=0,
        )
        self.checker.counts['runs in a quota window'] = highest
        if highest > max_runs_in_window():
            self.checker.fail(
                'QUOTA',
                f'{highest} requests of {LIMITED_CUSTOMER.name} ran within'
                f' {QUOTA_WINDOW_S} s, allowed: {max_runs_in_window()}',
            )


def _is_public(record):
    return ROUTES.get(record.prefix, MARKER_ROUTE).public
