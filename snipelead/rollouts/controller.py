"""Decisions of the leader about one rollout, without I/O."""

from math import ceil

import xxhash

from snipelead.messages import Grant
from snipelead.messages import RolloutPhase
from snipelead.rollouts.evidence import add_counts
from snipelead.rollouts.evidence import Comparison
from snipelead.rollouts.evidence import pack_counts
from snipelead.rollouts.evidence import unpack_counts
from snipelead.rollouts.plan import cap_exposure
from snipelead.rollouts.plan import choose_load_share
from snipelead.rollouts.plan import choose_phase
from snipelead.rollouts.plan import choose_share
from snipelead.rollouts.plan import evidence_s
from snipelead.rollouts.plan import load_end_ms
from snipelead.rollouts.plan import MIN_LOAD_PART
from snipelead.rollouts.plan import Progress
from snipelead.rollouts.plan import promotion_ms
from snipelead.rollouts.plan import required_responses
from snipelead.voters.messages import AdvanceRollout

__all__ = ['RolloutController']

# Reports come every 0.4 s, so some may be lost without a pause. Part of the
# time allowed for a rollback, which also takes a report and a decision.
LEASE_MS = 1_500
LEASE_PART_OF_ROLLBACK = 0.3
# A new leader hears from all nodes in touch before it grants anything.
LISTEN_S = 1.0
WINDOW_S = 0.5
# A node that was not heard of for this time is out of touch.
IN_TOUCH_S = 3.0
RECORD_INTERVAL_S = 1.0
# Long enough for queues to build up at the targets in use.
ROUND_MS = 1_000
MIN_AHEAD = 10
MAX_ACCRUED = 5.0
_HASH_RANGE = 2**64


class RolloutController:
    """Grants requests to nodes, compares versions and chooses the phase.

    One object serves for one rollout as long as a control leads. Requests are
    granted only out of those that a committed entry of the log has reserved,
    and a new leader takes all reserved requests as sent. So the sum of what
    nodes may send stays under the reservations, whoever led before.

    Parameters
    ----------
    rollout : Rollout
        Committed state when the control took over.
    guarantees : Guarantees
        Bounds of the deployment.
    now : float
        Time of the takeover in seconds.

    Attributes
    ----------
    rollout : Rollout
        Committed state; the owner keeps it up to date.
    target_count : int
        Targets of the new version; the owner keeps it up to date.
    granted : int
        Requests granted by this leader and those that earlier ones reserved.
    reason : str
        Reason of the latest decision.
    """

    def __init__(self, rollout, guarantees, now):
        self.rollout = rollout
        self.guarantees = guarantees
        self.granted = rollout.reserved
        self.target_count = 0
        self.is_loading = False
        self.reason = ''
        self.comparison = Comparison()
        self.listening_until = now
        if rollout.reserved or rollout.phase is not RolloutPhase.RUNNING:
            self.listening_until += LISTEN_S
        self.share = choose_share(rollout.duration_ms, 0)
        self.round = 0
        self.phase = rollout.phase
        self._reports = {}
        self._seen_at = {}
        self._limits = {}
        self._accrued = {}
        self._window_at = self.listening_until
        self._compared = None
        self._counts = unpack_counts(rollout.counts)
        self._recorded_at = now
        self._recorded_total = rollout.total

    def record(self, node, report, now):
        """Record a report of a node and grant it requests.

        Parameters
        ----------
        node : tuple of NodeId and Incarnation
            The node.
        report : ServiceReport
            Its report about this rollout.
        now : float
            Current time in seconds.

        Returns
        -------
        Grant or None
        """
        previous = self._reports.get(node)
        if previous is not None and (report.total, report.sent) < (
            previous.total,
            previous.sent,
        ):
            # A report that was overtaken on its way.
            return None
        self._reports[node] = report
        self._seen_at[node] = now
        if self.phase is not RolloutPhase.RUNNING:
            return None
        if now < self.listening_until:
            return None
        new_total = report.total - (previous.total if previous else 0)
        return self._grant(node, report, new_total)

    def _grant(self, node, report, new_total):
        limit = self._limits.get(node, report.sent)
        accrued = self._accrued.get(node)
        if accrued is None:
            # Nodes start with different fractions, so that many nodes with
            # few requests each are not granted a request all at once.
            digest = xxhash.xxh3_64_intdigest(repr(node).encode())
            accrued = digest / _HASH_RANGE
        accrued = min(MAX_ACCRUED, accrued) + self.share * new_total
        available = self.rollout.reserved - self.granted
        amount = max(0, min(int(accrued), available))
        self.granted += amount
        self._accrued[node] = accrued - amount
        self._limits[node] = limit + amount
        return Grant(
            self.rollout.order,
            self.rollout.service,
            limit + amount,
            self.lease_ms,
            self.share,
            self.round,
        )

    @property
    def lease_ms(self):
        """Time for which a grant holds, in ms."""
        rollback_ms = self.guarantees.rollback_ms
        if not rollback_ms:
            return LEASE_MS
        return min(LEASE_MS, int(LEASE_PART_OF_ROLLBACK * rollback_ms))

    def advance(self, now, elapsed_ms):
        """Decide on the next step.

        Parameters
        ----------
        now : float
            Current time in seconds.
        elapsed_ms : float
            Time since the order.

        Returns
        -------
        AdvanceRollout or None
            Command for the log; None if there is nothing to record.
        """
        rollout = self.rollout
        if rollout.phase.is_final or now < self.listening_until:
            return None
        self._compare(now)
        total = max(
            rollout.total, sum(r.total for r in self._reports.values())
        )
        self.share = self._choose_share(total, elapsed_ms)
        self.round = int(elapsed_ms / ROUND_MS)
        phase, reason = choose_phase(
            rollout, elapsed_ms, self._make_progress(now, total, elapsed_ms)
        )
        if phase.value > self.phase.value:
            self.phase, self.reason = phase, reason
        reserved = rollout.reserved
        if self.phase is RolloutPhase.RUNNING:
            reserved = self._choose_reserved(total)
        due = (
            total > rollout.total
            and now >= self._recorded_at + RECORD_INTERVAL_S
        )
        if (
            self.phase is rollout.phase
            and reserved == rollout.reserved
            and not due
        ):
            return None
        self._recorded_at = now
        self._recorded_total = total
        return AdvanceRollout(
            rollout.service,
            rollout.order,
            self.phase,
            reserved,
            total,
            pack_counts(self._counts),
        )

    def _choose_share(self, total, elapsed_ms):
        """Return the share of requests for the new version at present.

        The step under load begins once the exposure that is left lasts until
        its end.
        """
        duration_ms = self.rollout.duration_ms
        left_ms = load_end_ms(duration_ms) - elapsed_ms
        if left_ms <= 0:
            return 0.0
        share = choose_load_share(self.target_count)
        if elapsed_ms >= MIN_LOAD_PART * promotion_ms(duration_ms):
            coming = total * left_ms / elapsed_ms
            cap = cap_exposure(self.guarantees, total + coming)
            self.is_loading |= cap - self.granted >= share * coming
        if self.is_loading:
            return share
        return choose_share(duration_ms, elapsed_ms)

    def _make_progress(self, now, total, elapsed_ms):
        rate = 1_000 * total / max(1.0, elapsed_ms)
        reports = self._list_reports_in_touch(now)
        return Progress(
            self.comparison.find_fault(),
            self.comparison.new_count,
            required_responses(self.target_count, rate),
            all(report.has_moved for report in reports),
            any(report.has_moved or report.promoted for report in reports),
            self._count_promoted(),
        )

    def _count_promoted(self):
        """Return required, sent and answered requests by route."""
        duration_ms = self.rollout.duration_ms
        part = evidence_s(duration_ms) * 1_000 / promotion_ms(duration_ms)
        counts = {
            route: [ceil(part * old), 0, 0]
            for route, old in self.comparison.count_old().items()
        }
        for report in self._reports.values():
            for progress in report.promoted:
                count = counts.setdefault(progress.route, [0, 0, 0])
                count[1] += progress.sent
                count[2] += progress.answered
        return counts

    def _choose_reserved(self, total):
        """Return how many requests to have reserved, within the bound."""
        recent = total - self._recorded_total
        ahead = MIN_AHEAD + ceil(2 * self.share * recent)
        cap = cap_exposure(self.guarantees, total)
        return max(self.rollout.reserved, min(cap, self.granted + ahead))

    def _list_reports_in_touch(self, now):
        return [
            self._reports[node]
            for node, seen_at in self._seen_at.items()
            if seen_at > now - IN_TOUCH_S
        ]

    def _compare(self, now):
        """Add the responses since the last window to the comparison."""
        if now < self._window_at:
            return
        self._window_at = now + WINDOW_S
        reported = {}
        for report in self._reports.values():
            add_counts(reported, unpack_counts(report.counts))
        if self._compared is None:
            # Evidence of nodes that have restarted is only in the log.
            for key, values in reported.items():
                known = self._counts.get(key, [0] * len(values))
                self._counts[key] = list(map(max, known, values))
            self.comparison.add_window(self._counts)
        else:
            window = {key: list(values) for key, values in reported.items()}
            add_counts(window, self._compared, -1)
            add_counts(self._counts, window)
            self.comparison.add_window(window)
        self._compared = reported
