"""Interface through which a control accesses the accepted releases."""

import trio

__all__ = ['ReleaseSource']


class ReleaseSource:
    """Accepted releases and the operations that change durable state.

    A voter implements this interface with the replicated log, a relay by
    polling a voter for releases and forwarding operations to the voters.

    Attributes
    ----------
    current : Release
        Newest committed release known to this process.
    """

    async def run(self, *, task_status):
        """Keep ``current`` up to date until cancelled."""
        raise NotImplementedError

    async def drain(self):
        """Prepare for a planned stop; does nothing by default."""

    def handlers(self):
        """Return the handlers of the remote procedures of this source.

        Returns
        -------
        dict of type to callable
            Coroutine functions by request type.
        """
        raise NotImplementedError

    def find_by_digest(self, digest):
        """Return a recent release by digest, or None.

        Used to look up the bases of deltas. How many releases are kept is
        up to the implementation.
        """
        raise NotImplementedError

    async def wait_changed(self):
        """Wait until ``current`` changes."""
        raise NotImplementedError

    async def certify(self):
        """Confirm with a majority of voters that ``current`` is the newest.

        Returns
        -------
        bool
            True if, at some moment during this call, ``current`` was the
            newest accepted release. False if that could not be confirmed.
        """
        raise NotImplementedError

    async def submit(self, note):
        """Submit a release note.

        Parameters
        ----------
        note : ReleaseNote
            The note.

        Returns
        -------
        SubmitReply
            Durable outcome of the note.

        Raises
        ------
        NoQuorumError
            The note was not accepted and never will be.
        OutcomeUnknownError
            The note may or may not be accepted. Submit it again or query
            its outcome.
        """
        raise NotImplementedError

    async def replace(self, base, release):
        """Submit a complete release that replaces the current one.

        The operation is idempotent: submitting the same release with the
        same base again returns the outcome of the first submission.

        Parameters
        ----------
        base : ReleaseNumber
            Number of the release to replace; must be the current one.
        release : Release
            The replacement.

        Returns
        -------
        SubmitReply

        Raises
        ------
        NoQuorumError
            The release was not accepted and never will be.
        BaseUnknownError
            The base is not accepted yet; nothing was submitted.
        OutcomeUnknownError
            The release may or may not be accepted.
        InvalidNoteError, DanglingReferenceError
            The release is not valid; nothing was submitted.
        """
        raise NotImplementedError

    def controls(self):
        """Return all known controls.

        Returns
        -------
        tuple of ControlEndpoint or None
            None if the controls are fixed by the settings of the processes.
        """
        return

    async def wait_controls_changed(self):
        """Wait until :meth:`controls` changes."""
        await trio.sleep_forever()

    async def claim(self, request):
        """Make a durable claim; see :class:`~snipelead.messages.ClaimRequest`.

        Raises
        ------
        NoQuorumError
            The claim was not recorded.
        OutcomeUnknownError
            The claim may have been recorded.
        """
        raise NotImplementedError

    async def settle(self, request):
        """Durably record the completion of a claimed request."""
        raise NotImplementedError

    async def get_outcomes(self):
        """Return the durable outcome of each recent note.

        Returns
        -------
        dict of NoteId to SubmitReply
        """
        raise NotImplementedError
