"""A request that may not be repeated, sent to several nodes with one key.

The caller sends the request to one node and resends it to others, at any
time. Each node claims the key in the replicated log, which is linearizable
but whose answers may be lost, and sends an attempt to the gate: the target's
own node. Nodes crash, connections are lost, the gate restarts and forgets.

A message to the log or a fence may arrive late, more than once or never. An
attempt is written once to one connection: it may arrive late or never.
"""

from dataclasses import dataclass

from specs.claims import Attempt
from specs.claims import AttemptAnswer
from specs.claims import AttemptId
from specs.claims import Claim
from specs.claims import ClaimAnswer
from specs.claims import Delivery
from specs.claims import Fence
from specs.claims import Gate
from specs.claims import Phase
from specs.claims import Ran
from specs.claims import Settle
from specs.claims import State

__all__ = ['AtMostOnce']


@dataclass(frozen=True)
class AtMostOnce:
    """Model of claims, attempts and fences.

    Parameters
    ----------
    deliveries, max_attempts, max_incarnations : int
        Bounds: deliveries of the request to nodes, attempts of each,
        lives of the gate.
    claims : bool
        A node claims the key before it sends an attempt.
    keeps_claim_of_unknown_end : bool
        A claim is given back only when the request provably did not run.
    fence_checks_incarnation : bool
        A gate that restarted since the attempt does not say that it did
        not run.
    attempt_names_incarnation : bool
        A gate refuses attempts meant for an earlier incarnation.
    retry_needs_fence : bool
        After a lost connection an attempt is fenced before the next.
    given_back_is_final : bool
        A claim that was given back is never granted again.
    """

    deliveries: int = 2
    max_attempts: int = 2
    max_incarnations: int = 2
    claims: bool = True
    keeps_claim_of_unknown_end: bool = True
    fence_checks_incarnation: bool = True
    attempt_names_incarnation: bool = True
    retry_needs_fence: bool = True
    given_back_is_final: bool = True

    def initial(self):
        """Return the state before the caller sends the request."""
        return State((Delivery(),) * self.deliveries)

    def invariants(self):
        """Return what callers rely on."""
        return {
            'runs at most once': lambda state: len(state.runs) <= 1,
            'not run is true for good': _answers_no_are_true,
            'run is true': _answers_yes_are_true,
            'a claim given back does not hold the key': lambda state: (
                state.register.holder not in state.register.given_back
            ),
        }

    def transitions(self, state):
        """Yield all steps of nodes, log, gate and network."""
        for number, delivery in enumerate(state.deliveries):
            yield from self._node_steps(state, number, delivery)
        for message in state.messages:
            yield from self._deliver(state, message)
        yield from self._gate_steps(state)

    def _node_steps(self, state, number, delivery):
        match delivery.phase:
            case Phase.NOT_RECEIVED:
                yield from self._receive(state, number, delivery)
            case Phase.CLAIMING:
                yield (
                    f'{number} gives up its claim',
                    _answer(state, number, Ran.NO, {Settle(number, Ran.NO)}),
                )
            case Phase.GRANTED:
                yield from self._send(state, number, delivery)
                yield from _give_back(state, number)
            case Phase.SENT:
                yield from self._after_sending(state, number, delivery)
            case Phase.NOT_RUN:
                yield from self._send(state, number, delivery)
                yield from _give_back(state, number)
        if Phase.NOT_RECEIVED < delivery.phase < Phase.ANSWERED:
            crashed = delivery._replace(phase=Phase.CRASHED)
            yield f'{number} crashes', _put(state, number, crashed)

    def _receive(self, state, number, delivery):
        if self.claims:
            claiming = delivery._replace(phase=Phase.CLAIMING)
            received = _put(state, number, claiming, {Claim(number)})
        else:
            granted = delivery._replace(phase=Phase.GRANTED)
            received = _put(state, number, granted)
        yield f'{number} receives the request', received

    def _send(self, state, number, delivery):
        if delivery.attempt == self.max_attempts:
            return
        # The directory may lag, so that an earlier incarnation is named.
        for incarnation in range(1, state.gate.incarnation + 1):
            sent = Delivery(Phase.SENT, delivery.attempt + 1, incarnation)
            attempt = AttemptId(number, sent.attempt)
            yield (
                f'{number} sends attempt {sent.attempt} to {incarnation}',
                _put(state, number, sent, {Attempt(attempt, incarnation)}),
            )

    def _after_sending(self, state, number, delivery):
        attempt = AttemptId(number, delivery.attempt)
        fence = Fence(attempt, delivery.incarnation)
        if fence not in state.messages:
            yield (
                f'{number} fences attempt {delivery.attempt}',
                _put(state, number, delivery, {fence}),
            )
        sent = (
            () if self.keeps_claim_of_unknown_end else {Settle(number, Ran.NO)}
        )
        yield f'{number} gives up', _answer(state, number, Ran.UNKNOWN, sent)
        if not self.retry_needs_fence:
            yield from self._send(state, number, delivery)

    def _deliver(self, state, message):
        match message:
            case Claim(number):
                yield from self._claim(state, number)
            case Settle():
                yield from self._settle(state, message)
            case ClaimAnswer():
                yield from self._take_claim_answer(state, message)
            case AttemptAnswer():
                yield from self._take_attempt_answer(state, message)
            case Attempt():
                yield from self._admit(state, message)
            case Fence():
                yield from self._fence(state, message)

    def _claim(self, state, number):
        register, answer = state.register.claim(
            number, self.given_back_is_final
        )
        yield (
            f'the log answers claim {number}: {answer.granted}',
            _with(state, {answer})._replace(register=register),
        )

    def _settle(self, state, settle):
        register = state.register.settle(settle.delivery, settle.ran)
        yield f'the log takes {settle}', state._replace(register=register)

    def _take_claim_answer(self, state, answer):
        number = answer.delivery
        delivery = state.deliveries[number]
        if delivery.phase is not Phase.CLAIMING:
            return
        if answer.granted:
            granted = delivery._replace(phase=Phase.GRANTED)
            yield f'{number} is granted', _put(state, number, granted)
        else:
            yield f'{number} is refused', _answer(state, number, answer.ran)

    def _take_attempt_answer(self, state, answer):
        number, attempt = answer.attempt
        delivery = state.deliveries[number]
        expected = (Phase.SENT, attempt)
        if (delivery.phase, delivery.attempt) != expected:
            return
        match answer.ran:
            case Ran.NO:
                not_run = delivery._replace(phase=Phase.NOT_RUN)
                yield f'{number} learns: not run', _put(state, number, not_run)
            case Ran.YES:
                settle = {Settle(number, Ran.YES)} if self.claims else ()
                yield (
                    f'{number} learns: run',
                    _answer(state, number, Ran.YES, settle),
                )

    def _admit(self, state, message):
        gate = state.gate
        attempt = message.attempt
        state = state._replace(messages=state.messages - {message})
        stale = message.incarnation != gate.incarnation
        refused = stale and self.attempt_names_incarnation
        if refused or attempt in gate.fenced:
            answer = AttemptAnswer(attempt, Ran.NO)
            yield f'the gate refuses {attempt}', _with(state, {answer})
        else:
            admitted = gate._replace(queued=gate.queued | {attempt})
            yield f'the gate queues {attempt}', state._replace(gate=admitted)

    def _fence(self, state, message):
        gate = state.gate
        attempt = message.attempt
        stale = message.incarnation != gate.incarnation
        if stale and self.fence_checks_incarnation:
            return
        if attempt in gate.started:
            answer = AttemptAnswer(attempt, Ran.YES)
        else:
            answer = AttemptAnswer(attempt, Ran.NO)
            gate = gate._replace(
                queued=gate.queued - {attempt}, fenced=gate.fenced | {attempt}
            )
        yield (
            f'the gate fences {attempt}: {answer.ran.name}',
            _with(state, {answer})._replace(gate=gate),
        )

    def _gate_steps(self, state):
        gate = state.gate
        for attempt in gate.queued:
            started = gate._replace(
                queued=gate.queued - {attempt},
                started=gate.started | {attempt},
            )
            answered = _with(state, {AttemptAnswer(attempt, Ran.YES)})
            yield (
                f'the target runs {attempt}',
                answered._replace(gate=started, runs=(*state.runs, attempt)),
            )
        if gate.incarnation < self.max_incarnations:
            restarted = Gate(gate.incarnation + 1)
            yield 'the gate restarts', state._replace(gate=restarted)


def _with(state, sent):
    return state._replace(messages=state.messages.union(sent))


def _put(state, number, delivery, sent=()):
    """Replace a delivery and send messages."""
    before, after = state.deliveries[:number], state.deliveries[number + 1 :]
    return _with(state, sent)._replace(deliveries=(*before, delivery, *after))


def _answer(state, number, ran, sent=()):
    """Give a caller its final answer."""
    delivery = state.deliveries[number]
    answered = delivery._replace(phase=Phase.ANSWERED, answer=ran)
    return _put(state, number, answered, sent)


def _give_back(state, number):
    settle = {Settle(number, Ran.NO)}
    yield f'{number} gives back', _answer(state, number, Ran.NO, settle)


def _answers_no_are_true(state):
    ran = {attempt.delivery for attempt in state.runs}
    return not any(
        delivery.answer is Ran.NO and number in ran
        for number, delivery in enumerate(state.deliveries)
    )


def _answers_yes_are_true(state):
    said = any(delivery.answer is Ran.YES for delivery in state.deliveries)
    return not said or bool(state.runs)
