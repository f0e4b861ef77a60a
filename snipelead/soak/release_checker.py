"""Checks the releases that clients and operators observe."""

from collections import Counter
from math import inf

import msgspec

from snipelead.soak.disturbances import ANY_CONTROL
from snipelead.soak.disturbances import Disturbances
from snipelead.soak.exceptions import GuaranteeViolationError

__all__ = ['CONFIG_APPLY_S', 'ReleaseChecker']

# Bound that the platform states.
CONFIG_APPLY_S = 2.0
# A probe sent up to this long after a newer release was seen may still be
# answered by the older one.
PROBE_OVERLAP_S = 0.25


class ReleaseChecker:
    """Records which releases are in force, and checks them.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    releases : list of ReleaseRecord
        Releases in order of submission.
    newest_seen : dict of tuple to (int, float)
        Newest release that each incarnation of a node was seen to apply, and
        the time of that observation.
    counts : Counter
        Number of observed events of each kind.
    disturbances : Disturbances
        Faults and planned stops of the run.
    violations : list of GuaranteeViolationError
        Violations in order of detection.
    """

    def __init__(self, clock):
        self.clock = clock
        self.releases = []
        self.newest_seen = {}
        self.counts = Counter()
        self.disturbances = Disturbances()
        self.violations = []

    def fail(self, rule, message):
        """Record a violation and raise it.

        Parameters
        ----------
        rule : str
            Name of the violated rule.
        message : str
            What was observed.
        """
        error = GuaranteeViolationError(
            f'{rule} at {self.clock():.2f} s: {message}'
        )
        self.violations.append(error)
        raise error

    def acknowledged_floor(self, moment):
        """Return the newest release acknowledged up to a time, or 0."""
        return max(
            (r.number for r in self.releases if r.acked_at <= moment),
            default=0,
        )

    def admissible_releases(self, floor, until):
        """Return the releases that may be in force.

        Parameters
        ----------
        floor : int
            Oldest release number that may be in force.
        until : float
            Releases submitted after this time are left out.
        """
        return [
            r
            for r in self.releases
            if r.number >= floor
            and r.sent_at <= until
            and r.valid
            and not r.refused
        ]

    def record_submit_response(self, release, status):
        """Record the status of a submission; 0 stands for no response."""
        now = self.clock()
        self.counts[f'submit {status}'] += 1
        if status == 200:
            if not release.valid:
                self.fail(
                    'CONFIG', f'invalid release {release.number} acknowledged'
                )
            if release.refused:
                self.fail(
                    'CONFIG',
                    f'release {release.number} refused and then acknowledged',
                )
            rivals = [
                r.number
                for r in self.releases
                if r is not release
                and r.base == release.base
                and r.acked_at < inf
            ]
            if rivals:
                self.fail(
                    'CONFIG',
                    f'releases {release.number} and {rivals} acknowledged'
                    f' on the same base {release.base}',
                )
            release.acked_at = min(release.acked_at, now)
        elif 400 <= status < 500 and status not in (408, 429):
            if release.acked_at < inf:
                self.fail(
                    'CONFIG',
                    f'acknowledged release {release.number} got status'
                    f' {status} when resubmitted',
                )
            release.refused = True

    def record_read(self, sent_at, number, body):
        """Record a release that an operator read.

        Parameters
        ----------
        sent_at : float
            Time of the request, in seconds.
        number : int
            Number of the release; 0 when there is none yet.
        body : bytes
            Body of the response.
        """
        self.counts['read'] += 1
        floor = self.acknowledged_floor(sent_at - CONFIG_APPLY_S)
        if number < floor:
            self.fail(
                'CONFIG',
                f'release {number} read after release {floor} was in force',
            )
        if not number:
            return
        read_document = msgspec.json.decode(body)
        submitted = [
            r
            for r in self.releases
            if r.number == number
            and msgspec.json.decode(r.body) == read_document
        ]
        if not submitted:
            self.fail(
                'CONFIG',
                f'release {number} read, which nobody submitted:'
                f' {read_document}',
            )
        if all(r.refused or not r.valid for r in submitted):
            self.fail('CONFIG', f'release {number} read, which was refused')

    def record_probe(self, record, number, found):
        """Record whether a node serves the marker route of a release.

        Parameters
        ----------
        record : RequestRecord
            Request for the marker route.
        number : int
            Number of the release.
        found : bool
            Whether the node served the request.
        """
        now = self.clock()
        node, incarnation, sent_at = (
            record.node,
            record.incarnation,
            record.sent_at,
        )
        undisturbed = self.disturbances.is_undisturbed(
            (node, ANY_CONTROL), sent_at, now
        )
        if not found:
            floor = self.acknowledged_floor(sent_at - CONFIG_APPLY_S)
            newer = [r for r in self.releases if r.number >= number][1:]
            if undisturbed and floor == number and not newer:
                self.fail('CONFIG', f'{node} has not applied release {number}')
            return
        known, seen_at = self.newest_seen.get((node, incarnation), (0, 0.0))
        if number < known and sent_at > seen_at + PROBE_OVERLAP_S:
            self.fail(
                'CONFIG', f'{node} applies release {number} after {known}'
            )
        if number > known:
            self.newest_seen[node, incarnation] = (number, now)
        floor = self.acknowledged_floor(sent_at - CONFIG_APPLY_S)
        if undisturbed and number < floor:
            self.fail(
                'CONFIG',
                f'{node} applies release {number} though {floor} is in force',
            )
