"""HTTP protocol between nodes and their local targets."""

from enum import Enum

from snipelead.http.reading import FieldRules
from snipelead.targets.status import TargetStatus

__all__ = ['DEFAULT_TARGET_PROTOCOL', 'ResponseKind', 'TargetProtocol']


NO_STATUS = TargetStatus()


class ResponseKind(Enum):
    """Meaning of a received response for the pending request."""

    # The target executed the request, and this is its response.
    ANSWER = 'answer'
    # Response to a different request.
    STRAY = 'stray'
    # The target is at capacity and did not execute the request.
    BUSY = 'busy'
    # Another target now listens at the address and did not execute the
    # request.
    MISDIRECTED = 'misplaced'
    # Not a valid response; the target may have executed the request.
    BROKEN = 'broken'


class TargetProtocol:
    """Native protocol between nodes and targets.

    Attributes
    ----------
    rules : FieldRules
        Header fields of responses that are read and forwarded.
    max_buffered_bytes : int
        Response bodies up to this size are received completely before they
        are forwarded; 0 streams all bodies.
    tenant_field : bytes
        Name of the field that tells a target the name of the customer.
    """

    rules = FieldRules()
    max_buffered_bytes = 0
    tenant_field = b'X-Tenant'

    def request_field_lines(self, request, call, target_id):
        """Return the field lines of a request to a target.

        Parameters
        ----------
        request : Message
            Request of the client.
        call : Call
            State of the call.
        target_id : TargetId
            Target that the request is intended for.

        Returns
        -------
        list of bytes
            Header fields, each ``name: value``.
        """
        return [
            *request.field_lines,
            b'X-Deadline-Ms: %d' % call.remaining_ms(),
            *self.customer_field_lines(call),
        ]

    def customer_field_lines(self, call):
        """Return the field line that names the customer of a call, if any."""
        if call.authorization is None:
            return ()
        name = call.authorization.customer
        return (b'%b: %b' % (self.tenant_field, name.encode()),)

    def classify_response(self, response, call):
        """Classify a response received for a call.

        Parameters
        ----------
        response : Message
            Received response.
        call : Call
            Call whose response is pending.

        Returns
        -------
        ResponseKind
        """
        return ResponseKind.ANSWER

    def read_status(self, response):
        """Return what a response states about its target.

        Parameters
        ----------
        response : Message
            Response of the target to any request.

        Returns
        -------
        TargetStatus
        """
        return NO_STATUS

    def keep_alive_s(self, response):
        """Return the keep-alive timeout that a response states.

        Parameters
        ----------
        response : Message
            Response of the target.

        Returns
        -------
        float or None
            Time in seconds for which an idle connection may be reused; None
            if it is not stated.
        """
        return


DEFAULT_TARGET_PROTOCOL = TargetProtocol()
