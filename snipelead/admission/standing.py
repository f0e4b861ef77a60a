"""What distinguishes requests of one route when slots are short."""

from msgspec import Struct

__all__ = ['NO_STANDING', 'RequestStanding']

_FROM_WORK_FLAG = 1
_BEYOND_USUAL_FLAG = 2
# Calls of work in progress rank before all other requests. Among themselves
# they keep the order of their routes.
FROM_WORK_RANK = -1_000


class RequestStanding(Struct, frozen=True):
    """Standing of a request, as judged by the node where it entered.

    Parameters
    ----------
    from_work : bool
        Whether work that holds a slot made the request.
    beyond_usual : bool
        Whether its customer sends more than usual.
    """

    from_work: bool = False
    beyond_usual: bool = False

    def rank(self, priority):
        """Return the rank of a request; the lowest is the most urgent."""
        return priority + (FROM_WORK_RANK if self.from_work else 0)

    def encode(self):
        """Return the number that stands for this in messages."""
        return (
            _FROM_WORK_FLAG * self.from_work
            | _BEYOND_USUAL_FLAG * self.beyond_usual
        )

    @classmethod
    def decode(cls, number):
        """Return the standing for a number; unknown flags are ignored."""
        return cls(
            bool(number & _FROM_WORK_FLAG), bool(number & _BEYOND_USUAL_FLAG)
        )


NO_STANDING = RequestStanding()
