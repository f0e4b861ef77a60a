"""Choice of the control that a node polls.

Links between the node and the controls are cut and healed, and controls lose
and regain the majority of the voters. The node remembers which controls failed
or said that they are possibly stale. Failures are remembered for longer than
the search covers. The node then takes a bounded number of steps without any
event, after which it must be served by a control that is current, provided
that one is in reach.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['ControlChoice']


class Control(NamedTuple):
    """A control, and what the node remembers of it.

    Parameters
    ----------
    reachable : bool
        Whether the node can reach it.
    current : bool
        Whether it has contact with the majority of the voters.
    failed : bool
        Whether the node remembers a failed poll.
    stale : bool
        Whether it said in its last reply that it is possibly stale.
    failed_at : int
        Order of its last failure among the controls; 0 is the oldest.
    """

    reachable: bool = True
    current: bool = True
    failed: bool = False
    stale: bool = False
    failed_at: int = 0


class State(NamedTuple):
    """State of the controls and the node.

    Parameters
    ----------
    controls : tuple of Control
        Controls, the most preferred first.
    served_by : int or None
        Control that replied to the last poll of the node.
    attempt_steps : int
        Steps until a poll under way fails.
    failures : int
        Consecutive failed polls, up to the number that matters.
    events : int
        Cuts, heals and changes of the majority so far.
    calm_steps : int
        Steps of the node since the last of these.
    """

    controls: tuple[Control, ...]
    served_by: int | None = 0
    attempt_steps: int = 0
    failures: int = 0
    events: int = 0
    calm_steps: int = 0


@dataclass(frozen=True)
class ControlChoice:
    """Model of a node that chooses among controls.

    Parameters
    ----------
    controls : int
        Number of controls.
    max_events : int
        Bound on the cuts, heals and changes of the majority.
    max_calm_steps : int
        Steps without an event within which the node must be served by a
        current control.
    asks_others : bool
        While it polls a possibly stale control, the node asks the others
        whether they are current, whatever it remembers of them.
    bounded_attempts : bool
        An attempt to reach a control takes one step, however many failed
        before.
    """

    controls: int = 3
    max_events: int = 5
    max_calm_steps: int = 6
    asks_others: bool = True
    bounded_attempts: bool = True

    def initial(self):
        """Return a state in which all controls are current and in reach."""
        return State(tuple(Control() for _ in range(self.controls)))

    def invariants(self):
        """Return the safety properties by name."""
        return {'a calm node is served by a current control': self._is_served}

    def _is_served(self, state):
        served = state.served_by is not None and _is_good(
            state.controls[state.served_by]
        )
        return (
            served
            or state.calm_steps < self.max_calm_steps
            or not any(_is_good(control) for control in state.controls)
        )

    def transitions(self, state):
        """Yield all transitions of network, voters and node."""
        if state.events < self.max_events:
            yield from self._events(state)
        if state.calm_steps < self.max_calm_steps:
            label, after = self._step(state)
            yield label, after._replace(calm_steps=state.calm_steps + 1)

    def _events(self, state):
        for index, control in enumerate(state.controls):
            for label, changed in (
                (
                    'the link to',
                    control._replace(reachable=not control.reachable),
                ),
                (
                    'the majority of',
                    control._replace(current=not control.current),
                ),
            ):
                yield (
                    f'{label} control {index} is cut or healed',
                    _with_control(state, index, changed)._replace(
                        events=state.events + 1, calm_steps=0
                    ),
                )

    def _step(self, state):
        if state.attempt_steps:
            return 'an attempt goes on', state._replace(
                attempt_steps=state.attempt_steps - 1
            )
        index = self._choose(state.controls)
        control = state.controls[index]
        if not control.reachable:
            return f'a poll of control {index} fails', self._fail(state, index)
        if control.stale and self.asks_others:
            asked = self._ask_others(state, index)
            if asked.controls != state.controls:
                return f'control {index} is stale; others are asked', asked
        replied = control._replace(failed=False, stale=not control.current)
        return (
            f'control {index} replies',
            _with_control(state, index, replied)._replace(
                served_by=index, failures=0
            ),
        )

    def _choose(self, controls):
        """Return the control that the node polls."""
        return min(
            range(self.controls),
            key=lambda index: (
                controls[index].failed,
                controls[index].failed_at if controls[index].failed else 0,
                controls[index].stale,
                index,
            ),
        )

    def _fail(self, state, index):
        controls = [
            control._replace(failed_at=max(0, control.failed_at - 1))
            for control in state.controls
        ]
        controls[index] = controls[index]._replace(
            failed=True, failed_at=self.controls - 1
        )
        steps = 0 if self.bounded_attempts else 2**state.failures - 1
        return state._replace(
            controls=tuple(controls),
            served_by=None,
            failures=min(state.failures + 1, self.controls),
            attempt_steps=steps,
        )

    def _ask_others(self, state, polled):
        controls = tuple(
            control._replace(failed=False, stale=not control.current)
            if control.reachable and index != polled
            else control
            for index, control in enumerate(state.controls)
        )
        return state._replace(controls=controls)


def _is_good(control):
    return control.reachable and control.current


def _with_control(state, index, control):
    controls = list(state.controls)
    controls[index] = control
    return state._replace(controls=tuple(controls))
