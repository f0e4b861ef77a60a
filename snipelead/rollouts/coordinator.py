"""Rollouts at a control: orders, reports of nodes, and the leader's work."""

from msgspec.structs import replace
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import RolloutReply
from snipelead.messages import RolloutReport
from snipelead.rollouts.controller import RolloutController
from snipelead.rollouts.events import ROLLOUT_CHANGED
from snipelead.rollouts.events import ROLLOUT_DECIDED
from snipelead.rollouts.events import ROLLOUT_TAKEN_OVER
from snipelead.rollouts.exceptions import InvalidRolloutError
from snipelead.rollouts.exceptions import RolloutConflictError
from snipelead.rollouts.exceptions import UnknownRolloutServiceError
from snipelead.types import TargetState
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import StartRollout

__all__ = ['RolloutCoordinator', 'are_rollouts_enabled']

ADVANCE_INTERVAL_S = 0.25
IDLE_INTERVAL_S = 1.0
FORWARD_TIMEOUT_S = 0.6
CERTIFY_TIMEOUT_S = 2.0
MAX_VERSION_CHARS = 256
MAX_DURATION_MS = 7 * 24 * 3_600 * 1_000


def are_rollouts_enabled(settings):
    """Return whether settings state a bound on rollouts."""
    guarantees = settings.guarantees
    return bool(guarantees.exposure_share or guarantees.rollback_ms)


class RolloutCoordinator:
    """Rollouts at one control.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    voter : Voter
        Replicated log.
    service : ControlService
        Distribution to nodes; its polls are woken when a phase changes.

    Attributes
    ----------
    controllers : dict of LogIndex to RolloutController
        Rollouts in progress, by order, while this control leads.
    leadership : Leadership or None
        Leadership in which this control has applied all earlier entries.
    """

    def __init__(self, settings, voter, service):
        self.settings = settings
        self.voter = voter
        self.service = service
        self.controllers = {}
        self.leadership = None

    @property
    def state(self):
        """Committed rollouts, as far as applied here."""
        return self.voter.replica.journal.state.rollouts

    def handlers(self):
        """Return the handlers of remote procedures by request type."""
        return {RolloutReport: self.handle_report}

    async def run(self):
        """Tell nodes of changes and, as the leader, advance rollouts."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._notify_nodes)
            while True:
                await self._lead()

    # -- operators -----------------------------------------------------

    async def start_rollout(self, service, version, duration_ms):
        """Order a rollout and return once the order is committed.

        Parameters
        ----------
        service : ServiceName
            Service whose traffic moves.
        version : str
            Version that the traffic moves to.
        duration_ms : int
            Time in which the rollout has to end, in ms.

        Raises
        ------
        InvalidRolloutError, UnknownRolloutServiceError
            If the order is invalid.
        RolloutConflictError
            If another rollout of the service is in progress.
        NoQuorumError, OutcomeUnknownError
            If the order could not be committed in time.
        """
        if (
            not 0 < len(version) <= MAX_VERSION_CHARS
            or not 0 < duration_ms <= MAX_DURATION_MS
        ):
            raise InvalidRolloutError(
                f'the version must have 1 to {MAX_VERSION_CHARS} characters'
                f' and the duration must be 1 to {MAX_DURATION_MS} ms'
            )
        await self._check_service(service)
        entries = self.service.directory.merged.live((service,))
        approved = {entry.version for entry in entries} - {version}
        reply = await self.voter.proposals.propose(
            StartRollout(
                service, version, duration_ms, tuple(sorted(approved))
            )
        )
        if not reply.accepted:
            raise RolloutConflictError(
                f'another rollout of service {service} is in progress'
            )

    async def _check_service(self, service):
        """Check that the newest release names a service.

        A control that is behind must not reject an order for a new service.
        """
        publisher = self.service.publisher
        if service in publisher.newest.services:
            return
        if not await publisher.certify():
            raise NoQuorumError(
                'the newest release could not be confirmed', CERTIFY_TIMEOUT_S
            )
        if service not in publisher.newest.services:
            raise UnknownRolloutServiceError(
                f'no service is named {service!r}'
            )

    async def read_rollout(self, service):
        """Return the newest rollout of a service, or None.

        Raises
        ------
        NoQuorumError
            If a majority could not confirm that it is the newest.
        """
        with trio.move_on_after(CERTIFY_TIMEOUT_S):
            if await self.service.publisher.certification.certify():
                return self.state.by_service.get(service)
        raise NoQuorumError(
            'a majority of the voters could not confirm the state'
        )

    def count_reserved(self):
        """Return the reserved requests by (service, phase)."""
        return {
            (rollout.service, rollout.phase.name.lower()): rollout.reserved
            for rollout in self.state.by_service.values()
        }

    # -- nodes ---------------------------------------------------------

    def update_since(self, version):
        """Return what a node that knows a version lacks, or None."""
        return self.state.update_since(version)

    async def _notify_nodes(self):
        journal = self.voter.replica.journal
        known = None
        while True:
            if self.state.version != known:
                known = self.state.version
                for rollout in self.state.by_service.values():
                    log_event(
                        ROLLOUT_CHANGED,
                        service=rollout.service,
                        version=rollout.version,
                        phase=rollout.phase.name.lower(),
                    )
                self.service.sessions.wake()
            await journal.applied.wait()

    async def handle_report(self, request):
        """Handle a report of a node; only the leader grants requests.

        Raises
        ------
        NoQuorumError
            If no leader can be asked; the node asks another control.
        """
        replica = self.voter.replica
        if self._is_leading():
            if not self.voter.election.has_majority_contact():
                raise NoQuorumError('the leader has lost the majority')
            return self._grant(request)
        leader = replica.leader
        if request.is_forwarded or leader is None or replica.leadership:
            raise NoQuorumError('no leader is ready')
        try:
            return await self.voter.peers.call(
                leader.control_id,
                replace(request, is_forwarded=True),
                FORWARD_TIMEOUT_S,
            )
        except InvariantError:
            raise
        except SnipeleadError as error:
            raise NoQuorumError(f'the leader did not reply: {error}') from None

    def _grant(self, request):
        node = (request.node_id, request.incarnation)
        grants = []
        for report in request.services:
            controller = self.controllers.get(report.order)
            rollout = self.state.by_service.get(report.service)
            if controller is None or rollout.order != report.order:
                continue
            controller.rollout = rollout
            grant = controller.record(node, report, trio.current_time())
            if grant is not None:
                grants.append(grant)
        return RolloutReply(tuple(grants))

    # -- as leader -----------------------------------------------------

    def _is_leading(self):
        return (
            self.leadership is not None
            and self.voter.replica.leadership is self.leadership
        )

    async def _lead(self):
        """Take over, or advance all rollouts once and pause."""
        leadership = self.voter.replica.leadership
        if not self._is_leading():
            self.controllers.clear()
            self.leadership = None
            # The barrier comes after an entry of this leader's term, so that
            # all reservations of earlier leaders have been applied.
            if leadership is not None and await self._pass_barrier():
                self.leadership = leadership
        else:
            await self._advance_all()
        is_active = any(
            not r.phase.is_final for r in self.state.by_service.values()
        )
        if is_active or not self._is_leading():
            await trio.sleep(ADVANCE_INTERVAL_S)
        else:
            with trio.move_on_after(IDLE_INTERVAL_S):
                await self.voter.replica.journal.applied.wait()

    async def _pass_barrier(self):
        try:
            with trio.move_on_after(CERTIFY_TIMEOUT_S):
                return await self.voter.wait_read_barrier()
        except InvariantError:
            raise
        except SnipeleadError:
            pass
        return False

    async def _advance_all(self):
        for rollout in list(self.state.by_service.values()):
            if rollout.phase.is_final:
                self.controllers.pop(rollout.order, None)
            elif self._is_leading():
                await self._advance(rollout)

    def _count_targets(self, rollout):
        """Return the number of targets of the new version in service."""
        entries = self.service.directory.merged.live((rollout.service,))
        return sum(
            entry.version == rollout.version
            and entry.state is TargetState.SERVING
            for entry in entries
        )

    async def _advance(self, rollout):
        now = trio.current_time()
        controller = self.controllers.get(rollout.order)
        if controller is None:
            controller = RolloutController(
                rollout, self.settings.guarantees, now
            )
            self.controllers[rollout.order] = controller
            log_event(
                ROLLOUT_TAKEN_OVER,
                service=rollout.service,
                version=rollout.version,
                reserved=rollout.reserved,
            )
        controller.rollout = rollout
        controller.target_count = self._count_targets(rollout)
        elapsed_ms = self.leadership.log_time_ms(now) - rollout.accepted_ms
        command = controller.advance(now, elapsed_ms)
        if command is None:
            return
        if command.phase is not rollout.phase:
            log_event(
                ROLLOUT_DECIDED,
                service=rollout.service,
                version=rollout.version,
                phase=command.phase.name.lower(),
                reason=controller.reason,
                elapsed_ms=elapsed_ms,
                reserved=command.reserved,
                total=command.total,
                compared=controller.comparison.new_count,
            )
        try:
            # Not repeated with another leader: that one decides itself.
            await self.voter.proposals.propose_once(
                command, encode_command(command)
            )
        except InvariantError:
            raise
        except SnipeleadError:
            pass
