"""Leases of nodes and of their targets, renewed by polls."""

import trio

from snipelead.controls.entries import make_tombstone
from snipelead.controls.events import NODE_JOINED
from snipelead.controls.events import NODE_LEFT
from snipelead.controls.events import NODE_LOST
from snipelead.controls.polling import MS_PER_S
from snipelead.logs import log_event

__all__ = ['NodeLeases']

LEASE_CHECK_INTERVAL_S = 0.5
# A node that stopped polling is reported as unreachable until this long after
# its last poll; its session is removed then.
SESSION_RETENTION_S = 600.0


class NodeLeases:
    """Registers nodes, renews their leases and expires them.

    Parameters
    ----------
    timings : ControlTimings
        Gives the lease durations.
    sessions : NodeSessions
        Sessions of the nodes that poll this control.
    directory : ControlDirectory
        Receives the targets of these nodes.
    """

    def __init__(self, timings, sessions, directory):
        self.timings = timings
        self.sessions = sessions
        self.directory = directory

    def renew(self, session, request):
        """Renew the leases of a node that polled, registering it if needed.

        Parameters
        ----------
        session : NodeSession
            Session of the node.
        request : SyncRequest
            The poll.

        Returns
        -------
        bool
            False if the node must send its registration, because the
            control does not have the version that the poll announces.
        """
        known = session.registration
        same_incarnation = (
            session.registered_incarnation == session.incarnation
        )
        received = request.registration
        if received is not None and not (
            same_incarnation and known.version >= received.version
        ):
            self._register(session, received)
        elif (
            not same_incarnation
            or known.version < request.registration_version
        ):
            return False
        if session.has_left:
            return True
        session.live = True
        if not session.targets_live:
            session.targets_live = True
            self.directory.put_own(session.targets)
        return True

    def reportable_sessions(self):
        """Return the sessions that are included in the fleet status."""
        return [
            session
            for session in self.sessions.by_node.values()
            if not session.has_left and session.registration is not None
        ]

    async def expire_leases(self):
        """Periodically expire leases that were not renewed."""
        while True:
            await trio.sleep(LEASE_CHECK_INTERVAL_S)
            now = trio.current_time()
            for session in list(self.sessions.by_node.values()):
                self._check_session(session, now - session.last_polled_at)

    def _register(self, session, registration):
        """Replace a node's registration and update its targets."""
        removed = {entry.target_id: entry for entry in session.targets}
        entries = tuple(
            entry
            for entry in registration.targets
            if entry.node_id == session.node_id
        )
        for entry in entries:
            removed.pop(entry.target_id, None)
        self.sessions.register(session, registration)
        session.registered_incarnation = session.incarnation
        withdrawn = list(removed.values())
        if registration.leaving:
            withdrawn.extend(entries)
            entries = ()
            session.has_left = True
            session.live = False
            session.targets_live = False
        else:
            session.targets_live = True
        self.directory.put_own(
            [make_tombstone(entry, withdrawn=True) for entry in withdrawn]
            + list(entries)
        )
        event = NODE_LEFT if registration.leaving else NODE_JOINED
        log_event(
            event,
            node=session.node_id,
            zone=registration.zone,
            targets=len(entries),
        )

    def _check_session(self, session, silent_s):
        """Expire leases of a node that has not polled for ``silent_s``."""
        target_lease_s = self.timings.target_lease_ms / MS_PER_S
        node_lease_s = self.timings.node_lease_ms / MS_PER_S
        if session.targets_live and silent_s >= target_lease_s:
            session.targets_live = False
            self.directory.put_own(
                [
                    make_tombstone(entry, withdrawn=False)
                    for entry in session.targets
                ]
            )
        if session.live and silent_s >= node_lease_s:
            session.live = False
            log_event(NODE_LOST, node=session.node_id, zone=session.zone)
        if silent_s >= SESSION_RETENTION_S:
            self.sessions.remove(session.node_id)
