"""Measurement of how long nodes take to confirm an accepted release."""

import trio

__all__ = ['ConvergenceRecorder']


class ConvergenceRecorder:
    """Records the time between acceptance and confirmation of a release.

    Parameters
    ----------
    metrics : ControlMetrics or None
        Receives the measured times. None disables recording.
    preference : Preference
        Optimization preference of the deployment, used as a metric label.

    Attributes
    ----------
    held : ReleaseId or None
        Latest accepted release.
    accepted_at : float
        Time at which this control learned of it, in seconds of the trio
        clock.
    """

    def __init__(self, metrics, preference):
        self.metrics = metrics
        self.preference = preference
        self.held = None
        self.accepted_at = 0.0

    def record_acceptance(self, held):
        """Record that this control has learned of an accepted release."""
        self.held = held
        self.accepted_at = trio.current_time()

    def record_confirmation(self, session, previous_held):
        """Record the convergence time if a poll is the first to confirm.

        Parameters
        ----------
        session : NodeSession
            Session of the node, after the poll was recorded.
        previous_held : ReleaseId
            Release that the node had confirmed before this poll.
        """
        if self.metrics is None or session.held != self.held:
            return
        # A node that started after the acceptance is catching up, which is
        # not convergence time.
        if (
            previous_held == self.held
            or session.first_polled_at > self.accepted_at
        ):
            return
        self.metrics.observe_convergence(
            self.preference.value, trio.current_time() - self.accepted_at
        )
