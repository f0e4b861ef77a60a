"""Time spans of the faults and planned stops of each machine."""

from collections import defaultdict
from math import inf

__all__ = ['ANY_CONTROL', 'Disturbances', 'STABILIZATION_S']

# Time after the end of a fault in which machines still count as disturbed, in
# seconds. The platform states this bound.
STABILIZATION_S = 3.0
# Key under which disturbances of any control are recorded.
ANY_CONTROL = 'any-control'


class Disturbances:
    """Faults and planned stops of the machines of a run.

    Attributes
    ----------
    fault_spans, stop_spans : dict of str to list of list of float
        Start and end of each fault, and of each planned stop, in seconds, by
        machine name. The end is infinite while the fault or stop lasts.
    """

    def __init__(self):
        self.fault_spans = defaultdict(list)
        self.stop_spans = defaultdict(list)

    def begin_stop(self, name, now):
        """Record the start of a planned stop of a machine."""
        self.stop_spans[name].append([now, inf])

    def end_stop(self, name, now):
        """Record that a machine runs again after a planned stop."""
        self.stop_spans[name][-1][1] = now

    def begin_fault(self, names, now):
        """Record the start of a fault of some machines.

        Returns
        -------
        list of list of float
            Spans of the fault, to be passed to :meth:`end_fault`.
        """
        spans = [[now, inf] for _ in names]
        for name, span in zip(names, spans, strict=True):
            self.fault_spans[name].append(span)
        return spans

    def record_event(self, name, now):
        """Record a fault that only disturbs at one moment."""
        self.fault_spans[name].append([now, now])

    def end_fault(self, spans, now):
        """Record the end of a fault.

        Spans that have ended before keep their earlier end.
        """
        for span in spans:
            span[1] = min(span[1], now)

    def end_all_faults(self, now):
        """Record the end of all faults."""
        for spans in self.fault_spans.values():
            self.end_fault(spans, now)

    def is_undisturbed(self, names, since, until):
        """Return whether no fault or planned stop affected some machines.

        Faults and stops that ended at most ``STABILIZATION_S`` before
        ``since`` count too.
        """
        return not any(
            begun <= until and ended >= since - STABILIZATION_S
            for name in names
            for begun, ended in (
                *self.fault_spans[name],
                *self.stop_spans[name],
            )
        )

    def is_fault_free(self, since, until):
        """Return whether no fault affected any machine in a time span.

        Faults that ended at most ``STABILIZATION_S`` before ``since``
        count too; planned stops do not.
        """
        return not any(
            begun <= until and ended >= since - STABILIZATION_S
            for spans in self.fault_spans.values()
            for begun, ended in spans
        )
