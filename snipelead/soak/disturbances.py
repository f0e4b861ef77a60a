"""When faults touched which machines."""

from collections import defaultdict
from math import inf

__all__ = ['CORE', 'Disturbances']

# Time after a fault until machines count as calm again, in seconds; the
# platform's own bound.
STABLE_WINDOW_S = 3.0
# Name under which disturbances of any control are kept.
CORE = 'core'


class Disturbances:
    """When faults touched machines.

    Attributes
    ----------
    spans, stops : dict of str to list of list of float
        Begin and end of each fault, and of each planned stop, by machine;
        an end that is not known yet is infinite.
    """

    def __init__(self):
        self.spans = defaultdict(list)
        self.stops = defaultdict(list)

    def begin_stop(self, name, now):
        """Note that a machine is being stopped as planned."""
        self.stops[name].append([now, inf])

    def end_stop(self, name, now):
        """Note that a machine runs again after a planned stop."""
        self.stops[name][-1][1] = now

    def begin(self, names, now):
        """Note that machines are disturbed from now on.

        Returns
        -------
        list of list of float
            The spans, for :meth:`end`.
        """
        spans = [[now, inf] for _ in names]
        for name, span in zip(names, spans, strict=True):
            self.spans[name].append(span)
        return spans

    def end(self, spans, now):
        """Note that disturbances are over."""
        for span in spans:
            span[1] = min(span[1], now)

    def end_all(self, now):
        """Note that nothing is disturbed any more."""
        for spans in self.spans.values():
            self.end(spans, now)

    def is_calm(self, names, since, until):
        """Tell whether machines were left alone for a span.

        The stable window before the span counts too.
        """
        return not any(
            begun <= until and ended >= since - STABLE_WINDOW_S
            for name in names
            for begun, ended in (*self.spans[name], *self.stops[name])
        )

    def is_all_calm(self, since, until):
        """Tell whether there was no fault anywhere for a span.

        Planned stops are no faults.
        """
        return not any(
            begun <= until and ended >= since - STABLE_WINDOW_S
            for spans in self.spans.values()
            for begun, ended in spans
        )
