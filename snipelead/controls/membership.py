"""Leases of nodes and of their targets."""

import trio

from snipelead.controls.entries import gone_entry
from snipelead.controls.events import NODE_JOINED
from snipelead.controls.events import NODE_LEFT
from snipelead.controls.events import NODE_LOST
from snipelead.controls.polling import MS_PER_S
from snipelead.logs import log_event

__all__ = ['Membership']

CHECK_INTERVAL_S = 0.5
# A node whose lease ended is reported as unreachable for this long.
RETENTION_S = 600.0


class Membership:
    """Registers nodes and ends leases.

    Parameters
    ----------
    timings : ControlTimings
        Lengths of the leases.
    sessions : NodeSessions
        Nodes that poll this control.
    directory : ControlDirectory
        Told of their targets.
    """

    def __init__(self, timings, sessions, directory):
        self.timings = timings
        self.sessions = sessions
        self.directory = directory

    def renew(self, session, request):
        """Renew a node's leases by a poll.

        Returns
        -------
        bool
            False when the node's registration is not known.
        """
        known = session.registration
        same_life = session.registered_incarnation == session.incarnation
        offered = request.registration
        if offered is not None and not (
            same_life and known.version >= offered.version
        ):
            self._register(session, offered)
        elif not same_life or known.version < request.announced:
            return False
        if session.left:
            return True
        session.live = True
        if not session.targets_live:
            session.targets_live = True
            self.directory.put_own(session.targets)
        return True

    def reported(self):
        """Return the sessions that the fleet status shows."""
        return [
            session
            for session in self.sessions.by_node.values()
            if not session.left and session.registration is not None
        ]

    async def end_leases(self):
        """End leases that are not renewed, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            for session in list(self.sessions.by_node.values()):
                self._check_lease(session, now - session.heard_at)

    def _register(self, session, registration):
        gone = {entry.target_id: entry for entry in session.targets}
        entries = tuple(
            entry
            for entry in registration.targets
            if entry.node_id == session.node_id
        )
        for entry in entries:
            gone.pop(entry.target_id, None)
        self.sessions.register(session, registration)
        session.registered_incarnation = session.incarnation
        withdrawn = list(gone.values())
        if registration.leaving:
            withdrawn.extend(entries)
            entries = ()
            session.left = True
            session.live = False
            session.targets_live = False
        else:
            session.targets_live = True
        self.directory.put_own(
            [gone_entry(entry, final=True) for entry in withdrawn]
            + list(entries)
        )
        event = NODE_LEFT if registration.leaving else NODE_JOINED
        log_event(
            event,
            node=session.node_id,
            zone=registration.zone,
            targets=len(entries),
        )

    def _check_lease(self, session, silent_s):
        target_lease_s = self.timings.target_lease_ms / MS_PER_S
        node_lease_s = self.timings.node_lease_ms / MS_PER_S
        if session.targets_live and silent_s >= target_lease_s:
            session.targets_live = False
            self.directory.put_own(
                [gone_entry(entry, final=False) for entry in session.targets]
            )
        if session.live and silent_s >= node_lease_s:
            session.live = False
            log_event(NODE_LOST, node=session.node_id, zone=session.zone)
        if silent_s >= RETENTION_S:
            self.sessions.forget(session.node_id)
