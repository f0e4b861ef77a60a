"""A node restarts beside a target that leaves, and reports come late.

The node acknowledges that its target leaves and forgets it when it restarts.
Reports of the target are a set that only grows: each may arrive late or never.
The node asks the target whether it serves; the answer may be late as well.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['RestartedGate']


class Report(NamedTuple):
    """What the target says of itself.

    Parameters
    ----------
    sequence : int
        Grows with each report.
    leaving : bool
        Whether it takes no new work.
    """

    sequence: int
    leaving: bool


class Gate(NamedTuple):
    """What the node knows of its target.

    Parameters
    ----------
    sequence : int
        Sequence of the newest report taken, 0 without one.
    leaving : bool
        Whether the target said to this process that it leaves.
    proved : bool
        Whether the target was proved to serve.
    answer : bool or None
        Answer to the question that is on its way.
    """

    sequence: int = 0
    leaving: bool = False
    proved: bool = False
    answer: bool | None = None


class State(NamedTuple):
    """State of the target and of its node.

    Parameters
    ----------
    reports : tuple of Report
        Reports sent so far.
    gate : Gate
        What the process of the node knows.
    restarts : int
        Restarts of the node so far.
    acknowledged : bool
        Whether some process acknowledged that the target leaves.
    begun_late : bool
        Whether a request began after that.
    """

    reports: tuple[Report, ...] = ()
    gate: Gate = Gate()
    restarts: int = 0
    acknowledged: bool = False
    begun_late: bool = False

    @property
    def leaving(self):
        """Whether the target leaves."""
        return bool(self.reports) and self.reports[-1].leaving


@dataclass(frozen=True)
class RestartedGate:
    """Model of a node that restarts beside a leaving target.

    Parameters
    ----------
    max_reports, max_restarts : int
        Bounds: reports of the target, restarts of the node.
    asks : bool
        A restarted node gives the target work only once that was proved to
        serve.
    leaving_stays : bool
        An answer that comes after the target said that it leaves changes
        nothing.
    orders_reports : bool
        Reports that are older than the newest one taken change nothing.
    """

    max_reports: int = 5
    max_restarts: int = 3
    asks: bool = True
    leaving_stays: bool = True
    orders_reports: bool = True

    def initial(self):
        """Return the state before the first report."""
        return State()

    def invariants(self):
        """Return what targets rely on."""
        return {
            'nothing begins after leaving was acknowledged': lambda state: (
                not state.begun_late
            )
        }

    def transitions(self, state):
        """Yield all steps of target and node."""
        if len(state.reports) < self.max_reports:
            yield from self._send_reports(state)
        for report in state.reports:
            if report.sequence > state.gate.sequence or (
                not self.orders_reports and state.gate.sequence
            ):
                yield self._take(state, report)
        if state.restarts < self.max_restarts:
            restarted = state._replace(
                gate=Gate(), restarts=state.restarts + 1
            )
            yield 'the node restarts', restarted
        yield from self._prove(state)
        if self._may_begin(state):
            begun_late = state.begun_late or state.acknowledged
            yield 'a request begins', state._replace(begun_late=begun_late)

    def _send_reports(self, state):
        sequence = len(state.reports) + 1
        for leaving in {True, state.leaving}:
            report = Report(sequence, leaving)
            sent = state._replace(reports=(*state.reports, report))
            yield f'the target reports, leaving: {leaving}', sent

    def _take(self, state, report):
        gate = state.gate
        leaving = report.leaving or (gate.leaving and self.orders_reports)
        # The first process beside the target heard all its reports.
        proved = gate.proved or not state.restarts
        taken = gate._replace(
            sequence=report.sequence, leaving=leaving, proved=proved
        )
        return (
            f'report {report.sequence} is taken',
            state._replace(
                gate=taken, acknowledged=state.acknowledged or report.leaving
            ),
        )

    def _prove(self, state):
        gate = state.gate
        if gate.sequence and not gate.proved and gate.answer is None:
            asked = gate._replace(answer=not state.leaving)
            yield 'the target is asked', state._replace(gate=asked)
        if gate.answer is None:
            return
        leaving = gate.leaving and (self.leaving_stays or not gate.answer)
        answered = gate._replace(
            answer=None, proved=gate.proved or gate.answer, leaving=leaving
        )
        yield 'the answer arrives', state._replace(gate=answered)

    def _may_begin(self, state):
        gate = state.gate
        proved = gate.proved or not self.asks
        return gate.sequence > 0 and proved and not gate.leaving
