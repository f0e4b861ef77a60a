"""Time from acceptance of a release until each node confirms it."""

import trio

__all__ = ['ConvergenceRecorder']


class ConvergenceRecorder:
    """Records how long after its acceptance nodes confirmed a release.

    Parameters
    ----------
    metrics : ControlMetrics or None
        Gets the times; None records nothing.
    preference : Preference
        What the deployment weighs more; a label of the times.
    """

    def __init__(self, metrics, preference):
        self.metrics = metrics
        self.preference = preference
        self.held = None
        self.accepted_at = 0.0

    def record_acceptance(self, held):
        """Note that this control has learnt of an accepted release."""
        self.held = held
        self.accepted_at = trio.current_time()

    def record_confirmation(self, session, previous_held):
        """Record a poll of a node.

        Parameters
        ----------
        session : NodeSession
            The node, after the poll was taken in.
        before : Held
            Release that it had confirmed before.
        """
        if self.metrics is None or session.held != self.held:
            return
        # Nodes that have started since then catch up; they did not wait.
        if (
            previous_held == self.held
            or session.first_polled_at > self.accepted_at
        ):
            return
        self.metrics.observe_convergence(
            self.preference.value, trio.current_time() - self.accepted_at
        )
