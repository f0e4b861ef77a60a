"""Restart of a node while its target is leaving.

The node acknowledges that its target is leaving, but loses that knowledge
when it restarts. Heartbeats of the target stay in a sequence that only grows:
each may arrive late or never. A restarted node therefore probes the target;
the reply may be late as well. A withdrawal names no incarnation and may arrive
before any heartbeat.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['NodeRestart']

# Heartbeats that confirm a target in the variant that counts them.
ENOUGH_HEARTBEATS = 3


class Heartbeat(NamedTuple):
    """Heartbeat of the target.

    Parameters
    ----------
    sequence : int
        Sequence number, increased by each heartbeat.
    leaving : bool
        Whether the target accepts no new requests.
    """

    sequence: int
    leaving: bool


class TargetView(NamedTuple):
    """What the node process knows of its target.

    Parameters
    ----------
    sequence : int
        Sequence number of the newest heartbeat received, 0 without one.
    leaving : bool
        Whether the target told this process that it is leaving.
    confirmed : bool
        Whether it is confirmed that the target serves.
    probe_reply : bool or None
        Reply in transit to a probe: whether the target serves.
    withdrawn : bool
        Whether the target withdrew itself before its first heartbeat arrived.
    received : int
        Heartbeats received, as far as they are counted.
    """

    sequence: int = 0
    leaving: bool = False
    confirmed: bool = False
    probe_reply: bool | None = None
    withdrawn: bool = False
    received: int = 0


class State(NamedTuple):
    """State of the target and its node.

    Parameters
    ----------
    heartbeats : tuple of Heartbeat
        Heartbeats sent so far.
    target_view : TargetView
        What the present process of the node knows.
    restarts : int
        Restarts of the node so far.
    acknowledged : bool
        Whether some process of the node acknowledged that the target is
        leaving or gone.
    withdrawn : bool
        Whether the target withdrew itself.
    started_late : bool
        Whether a request was started after the acknowledgement.
    """

    heartbeats: tuple[Heartbeat, ...] = ()
    target_view: TargetView = TargetView()
    restarts: int = 0
    acknowledged: bool = False
    withdrawn: bool = False
    started_late: bool = False

    @property
    def leaving(self):
        """Whether the target is leaving or gone."""
        if self.withdrawn:
            return True
        return bool(self.heartbeats) and self.heartbeats[-1].leaving


@dataclass(frozen=True)
class NodeRestart:
    """Model of a node that restarts while its target is leaving.

    Parameters
    ----------
    max_heartbeats, max_restarts : int
        Bounds on the heartbeats of the target and the restarts of the node.
    confirms_after_restart : bool
        A restarted node sends requests to the target only once it is
        confirmed that the target serves.
    leaving_is_final : bool
        A probe reply that arrives after a heartbeat that the target is leaving
        is ignored.
    drops_older_heartbeats : bool
        Heartbeats that are older than the newest one received are ignored.
    keeps_early_withdrawal : bool
        A withdrawal counts although no heartbeat has arrived yet.
    counts_no_heartbeats : bool
        Any number of heartbeats does not confirm that the target serves.
    """

    max_heartbeats: int = 5
    max_restarts: int = 3
    confirms_after_restart: bool = True
    leaving_is_final: bool = True
    drops_older_heartbeats: bool = True
    keeps_early_withdrawal: bool = True
    counts_no_heartbeats: bool = True

    def initial(self):
        """Return the state before the first heartbeat."""
        return State()

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'no request starts after leaving is acknowledged': lambda state: (
                not state.started_late
            )
        }

    def transitions(self, state):
        """Yield all transitions of target and node."""
        if not state.withdrawn:
            yield 'the target withdraws itself', self._withdraw(state)
        if len(state.heartbeats) < self.max_heartbeats and not state.withdrawn:
            yield from self._send_heartbeats(state)
        for heartbeat in state.heartbeats:
            if heartbeat.sequence > state.target_view.sequence or (
                not self.drops_older_heartbeats and state.target_view.sequence
            ):
                yield self._receive_heartbeat(state, heartbeat)
        if state.restarts < self.max_restarts:
            restarted = state._replace(
                target_view=TargetView(), restarts=state.restarts + 1
            )
            yield 'the node restarts', restarted
        yield from self._probe_target(state)
        if self._may_start(state):
            started_late = state.started_late or state.acknowledged
            yield 'a request starts', state._replace(started_late=started_late)

    def _send_heartbeats(self, state):
        sequence = len(state.heartbeats) + 1
        for leaving in {True, state.leaving}:
            heartbeat = Heartbeat(sequence, leaving)
            sent = state._replace(heartbeats=(*state.heartbeats, heartbeat))
            yield f'the target sends a heartbeat, leaving: {leaving}', sent

    def _withdraw(self, state):
        view = state.target_view
        if view.sequence:
            view = view._replace(leaving=True)
        elif self.keeps_early_withdrawal:
            view = view._replace(withdrawn=True)
        return state._replace(
            target_view=view, withdrawn=True, acknowledged=True
        )

    def _receive_heartbeat(self, state, heartbeat):
        target_view = state.target_view
        leaving = heartbeat.leaving or (
            target_view.leaving and self.drops_older_heartbeats
        )
        # The first process of the node has received all heartbeats since the
        # start of the target and needs no probe.
        confirmed = target_view.confirmed or not (
            state.restarts or target_view.withdrawn
        )
        received = 0
        if not self.counts_no_heartbeats:
            received = min(ENOUGH_HEARTBEATS, target_view.received + 1)
            confirmed = confirmed or received == ENOUGH_HEARTBEATS
        updated = target_view._replace(
            sequence=heartbeat.sequence,
            leaving=leaving,
            confirmed=confirmed,
            received=received,
        )
        return (
            f'heartbeat {heartbeat.sequence} is received',
            state._replace(
                target_view=updated,
                acknowledged=state.acknowledged or heartbeat.leaving,
            ),
        )

    def _probe_target(self, state):
        target_view = state.target_view
        if (
            target_view.sequence
            and not target_view.confirmed
            and target_view.probe_reply is None
        ):
            probed = target_view._replace(probe_reply=not state.leaving)
            yield (
                'the node probes the target',
                state._replace(target_view=probed),
            )
        if target_view.probe_reply is None:
            return
        leaving = target_view.leaving and (
            self.leaving_is_final or not target_view.probe_reply
        )
        with_reply = target_view._replace(
            probe_reply=None,
            confirmed=target_view.confirmed or target_view.probe_reply,
            leaving=leaving,
        )
        yield 'the probe reply arrives', state._replace(target_view=with_reply)

    def _may_start(self, state):
        target_view = state.target_view
        confirmed = target_view.confirmed or not (
            self.confirms_after_restart or target_view.withdrawn
        )
        return (
            target_view.sequence > 0 and confirmed and not target_view.leaving
        )
