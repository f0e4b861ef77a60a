"""At-most-once execution of a request sent to several nodes with one key.

The caller sends the request, which is not repeatable, to one node and may
resend it to others at any time. Each node claims the idempotency key in the
replicated log, which is linearizable but whose replies may be lost, and then
sends an attempt to the node that serves the target. Nodes crash, connections
are lost, and a restart of the target's node loses its state.

A message to the log or a fence may arrive late, more than once or never. An
attempt is written once to one connection: it may arrive late or never.
"""

from dataclasses import dataclass

from specs.claims import Attempt
from specs.claims import AttemptId
from specs.claims import AttemptReply
from specs.claims import Claim
from specs.claims import ClaimReply
from specs.claims import Delivery
from specs.claims import Fence
from specs.claims import Phase
from specs.claims import Ran
from specs.claims import Settle
from specs.claims import State
from specs.claims import TargetNode

__all__ = ['AtMostOnce']


@dataclass(frozen=True)
class AtMostOnce:
    """Model of claims, attempts and fences.

    Parameters
    ----------
    deliveries, max_attempts, max_incarnations : int
        Bounds on the deliveries of the request to nodes, the attempts of
        each and the incarnations of the target's node.
    requires_claim : bool
        A node claims the key before it sends an attempt.
    keeps_claim_of_unknown_outcome : bool
        A claim is released only if the request provably did not run.
    fence_checks_incarnation : bool
        A fence addressed to another incarnation is ignored, because a
        restarted node cannot tell that the attempt did not run.
    attempt_checks_incarnation : bool
        The target's node refuses attempts addressed to another incarnation.
    retry_requires_fence : bool
        After a lost connection an attempt is fenced before the next one is
        sent.
    released_claim_is_final : bool
        A released claim is never granted again, even to a late message.
    """

    deliveries: int = 2
    max_attempts: int = 2
    max_incarnations: int = 2
    requires_claim: bool = True
    keeps_claim_of_unknown_outcome: bool = True
    fence_checks_incarnation: bool = True
    attempt_checks_incarnation: bool = True
    retry_requires_fence: bool = True
    released_claim_is_final: bool = True

    def initial(self):
        """Return the state before the caller sends the request."""
        return State((Delivery(),) * self.deliveries)

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'runs at most once': lambda state: len(state.runs) <= 1,
            'answer "not run" stays true': _not_run_answers_hold,
            'answer "run" is true': _run_answers_hold,
            'a released claim does not hold the key': lambda state: (
                state.claim_record.holder not in state.claim_record.released
            ),
        }

    def transitions(self, state):
        """Yield all transitions of nodes, log and network."""
        for delivery_id, delivery in enumerate(state.deliveries):
            yield from self._node_steps(state, delivery_id, delivery)
        for message in state.messages:
            yield from self._deliver(state, message)
        yield from self._target_node_steps(state)

    def _node_steps(self, state, delivery_id, delivery):
        match delivery.phase:
            case Phase.NOT_RECEIVED:
                yield from self._receive_request(state, delivery_id, delivery)
            case Phase.CLAIMING:
                yield (
                    f'delivery {delivery_id} abandons its claim',
                    _answer(
                        state,
                        delivery_id,
                        Ran.NO,
                        {Settle(delivery_id, Ran.NO)},
                    ),
                )
            case Phase.GRANTED:
                yield from self._send_attempt(state, delivery_id, delivery)
                yield from _release_claim(state, delivery_id)
            case Phase.SENT:
                yield from self._sent_steps(state, delivery_id, delivery)
            case Phase.NOT_RUN:
                yield from self._send_attempt(state, delivery_id, delivery)
                yield from _release_claim(state, delivery_id)
        if Phase.NOT_RECEIVED < delivery.phase < Phase.ANSWERED:
            crashed = delivery._replace(phase=Phase.CRASHED)
            yield (
                f'the node of delivery {delivery_id} crashes',
                _update_delivery(state, delivery_id, crashed),
            )

    def _receive_request(self, state, delivery_id, delivery):
        if self.requires_claim:
            claiming = delivery._replace(phase=Phase.CLAIMING)
            received = _update_delivery(
                state, delivery_id, claiming, {Claim(delivery_id)}
            )
        else:
            granted = delivery._replace(phase=Phase.GRANTED)
            received = _update_delivery(state, delivery_id, granted)
        yield f'delivery {delivery_id} is received', received

    def _send_attempt(self, state, delivery_id, delivery):
        if delivery.attempts == self.max_attempts:
            return
        # The directory may be stale and hold an earlier incarnation.
        for incarnation in range(1, state.target_node.incarnation + 1):
            sent = Delivery(Phase.SENT, delivery.attempts + 1, incarnation)
            attempt_id = AttemptId(delivery_id, sent.attempts)
            yield (
                f'delivery {delivery_id} sends attempt {sent.attempts}'
                f' to incarnation {incarnation}',
                _update_delivery(
                    state,
                    delivery_id,
                    sent,
                    {Attempt(attempt_id, incarnation)},
                ),
            )

    def _sent_steps(self, state, delivery_id, delivery):
        attempt_id = AttemptId(delivery_id, delivery.attempts)
        fence = Fence(attempt_id, delivery.incarnation)
        if fence not in state.messages:
            yield (
                f'delivery {delivery_id} fences attempt {delivery.attempts}',
                _update_delivery(state, delivery_id, delivery, {fence}),
            )
        sent = (
            ()
            if self.keeps_claim_of_unknown_outcome
            else {Settle(delivery_id, Ran.NO)}
        )
        yield (
            f'delivery {delivery_id} is answered UNKNOWN',
            _answer(state, delivery_id, Ran.UNKNOWN, sent),
        )
        if not self.retry_requires_fence:
            yield from self._send_attempt(state, delivery_id, delivery)

    def _deliver(self, state, message):
        match message:
            case Claim(delivery_id):
                yield from self._receive_claim(state, delivery_id)
            case Settle():
                yield from self._receive_settle(state, message)
            case ClaimReply():
                yield from self._receive_claim_reply(state, message)
            case AttemptReply():
                yield from self._receive_attempt_reply(state, message)
            case Attempt():
                yield from self._receive_attempt(state, message)
            case Fence():
                yield from self._receive_fence(state, message)

    def _receive_claim(self, state, delivery_id):
        claim_record, reply = state.claim_record.claim(
            delivery_id, self.released_claim_is_final
        )
        yield (
            f'the log replies to claim {delivery_id}: {reply.granted}',
            _add_messages(state, {reply})._replace(claim_record=claim_record),
        )

    def _receive_settle(self, state, settle):
        claim_record = state.claim_record.settle(
            settle.delivery_id, settle.ran
        )
        yield (
            f'the log applies {settle}',
            state._replace(claim_record=claim_record),
        )

    def _receive_claim_reply(self, state, reply):
        delivery_id = reply.delivery_id
        delivery = state.deliveries[delivery_id]
        if delivery.phase is not Phase.CLAIMING:
            return
        if reply.granted:
            granted = delivery._replace(phase=Phase.GRANTED)
            yield (
                f'claim {delivery_id} is granted',
                _update_delivery(state, delivery_id, granted),
            )
        else:
            yield (
                f'claim {delivery_id} is refused',
                _answer(state, delivery_id, reply.ran),
            )

    def _receive_attempt_reply(self, state, reply):
        delivery_id, number = reply.attempt_id
        delivery = state.deliveries[delivery_id]
        expected = (Phase.SENT, number)
        if (delivery.phase, delivery.attempts) != expected:
            return
        match reply.ran:
            case Ran.NO:
                not_run = delivery._replace(phase=Phase.NOT_RUN)
                yield (
                    f'delivery {delivery_id} did not run',
                    _update_delivery(state, delivery_id, not_run),
                )
            case Ran.YES:
                settle = (
                    {Settle(delivery_id, Ran.YES)}
                    if self.requires_claim
                    else ()
                )
                yield (
                    f'delivery {delivery_id} ran',
                    _answer(state, delivery_id, Ran.YES, settle),
                )

    def _receive_attempt(self, state, message):
        target_node = state.target_node
        attempt_id = message.attempt_id
        state = state._replace(messages=state.messages - {message})
        incarnation_differs = message.incarnation != target_node.incarnation
        refused = incarnation_differs and self.attempt_checks_incarnation
        if refused or attempt_id in target_node.fenced:
            reply = AttemptReply(attempt_id, Ran.NO)
            yield (
                f"the target's node refuses {attempt_id}",
                _add_messages(state, {reply}),
            )
        else:
            admitted = target_node._replace(
                queued=target_node.queued | {attempt_id}
            )
            yield (
                f"the target's node queues {attempt_id}",
                state._replace(target_node=admitted),
            )

    def _receive_fence(self, state, message):
        target_node = state.target_node
        attempt_id = message.attempt_id
        incarnation_differs = message.incarnation != target_node.incarnation
        if incarnation_differs and self.fence_checks_incarnation:
            return
        if attempt_id in target_node.started:
            reply = AttemptReply(attempt_id, Ran.YES)
        else:
            reply = AttemptReply(attempt_id, Ran.NO)
            target_node = target_node._replace(
                queued=target_node.queued - {attempt_id},
                fenced=target_node.fenced | {attempt_id},
            )
        yield (
            f"the target's node fences {attempt_id}: {reply.ran.name}",
            _add_messages(state, {reply})._replace(target_node=target_node),
        )

    def _target_node_steps(self, state):
        target_node = state.target_node
        for attempt_id in target_node.queued:
            started = target_node._replace(
                queued=target_node.queued - {attempt_id},
                started=target_node.started | {attempt_id},
            )
            answered = _add_messages(
                state, {AttemptReply(attempt_id, Ran.YES)}
            )
            yield (
                f'the target runs {attempt_id}',
                answered._replace(
                    target_node=started, runs=(*state.runs, attempt_id)
                ),
            )
        if target_node.incarnation < self.max_incarnations:
            restarted = TargetNode(target_node.incarnation + 1)
            yield (
                "the target's node restarts",
                state._replace(target_node=restarted),
            )


def _add_messages(state, sent):
    return state._replace(messages=state.messages.union(sent))


def _update_delivery(state, delivery_id, delivery, sent=()):
    """Return the state with one delivery replaced and messages sent."""
    before, after = (
        state.deliveries[:delivery_id],
        state.deliveries[delivery_id + 1 :],
    )
    return _add_messages(state, sent)._replace(
        deliveries=(*before, delivery, *after)
    )


def _answer(state, delivery_id, ran, sent=()):
    """Return the state after the caller got its final answer."""
    delivery = state.deliveries[delivery_id]
    answered = delivery._replace(phase=Phase.ANSWERED, answer=ran)
    return _update_delivery(state, delivery_id, answered, sent)


def _release_claim(state, delivery_id):
    settle = {Settle(delivery_id, Ran.NO)}
    yield (
        f'claim {delivery_id} is released',
        _answer(state, delivery_id, Ran.NO, settle),
    )


def _not_run_answers_hold(state):
    ran = {attempt_id.delivery_id for attempt_id in state.runs}
    return not any(
        delivery.answer is Ran.NO and delivery_id in ran
        for delivery_id, delivery in enumerate(state.deliveries)
    )


def _run_answers_hold(state):
    answered_yes = any(
        delivery.answer is Ran.YES for delivery in state.deliveries
    )
    return not answered_yes or bool(state.runs)
