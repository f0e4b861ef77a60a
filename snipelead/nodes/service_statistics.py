"""Moving averages over the responses of a local target."""

from snipelead.nodes.latency_queue import ServiceTimes
from snipelead.nodes.relative_service_time import RelativeServiceTime

__all__ = ['ServiceStatistics']

# Weight of the newest value in the exponentially weighted moving averages of
# the service time and the error rate.
EWMA_WEIGHT = 0.1
INITIAL_SERVICE_S = 0.005


class ServiceStatistics:
    """Service times and errors of one target, over the requests of all nodes.

    Parameters
    ----------
    holder : ReleaseHolder or None
        Holds the release with the latency objectives of the routes.

    Attributes
    ----------
    service_times : ServiceTimes
        Mean service time of each route.
    mean_service_s : float
        Moving average of the service time over all routes, in seconds.
    has_observed_service : bool
        Whether ``mean_service_s`` is based on at least one response.
    error_rate : float
        Moving average of the share of server errors among the responses.
    relative_service_time : RelativeServiceTime
        How slow the target is, as told to all nodes.
    """

    def __init__(self, holder=None):
        self.holder = holder
        self.service_times = ServiceTimes()
        self.mean_service_s = INITIAL_SERVICE_S
        self.has_observed_service = False
        self.error_rate = 0.0
        self.relative_service_time = RelativeServiceTime()

    def record(self, response, service_s, route):
        """Update the moving averages with a response.

        Parameters
        ----------
        response : Message
            Response of the target.
        service_s : float
            Service time in seconds.
        route : RouteName
            Route of the request.
        """
        is_error = response.is_server_error
        self.error_rate += EWMA_WEIGHT * (is_error - self.error_rate)
        if is_error:
            # The service time of an error is not representative.
            return
        if not self.has_observed_service:
            self.has_observed_service = True
            self.mean_service_s = service_s
        self.mean_service_s += EWMA_WEIGHT * (service_s - self.mean_service_s)
        self.service_times.record(route, service_s)
        self._record_relative_service_time(route, service_s)

    def _record_relative_service_time(self, route_name, service_s):
        if self.holder is None:
            return
        route = self.holder.current.routes.get(route_name)
        if route is not None:
            reference_ms = route.target_latency_ms or route.deadline_ms
            self.relative_service_time.record(service_s, reference_ms / 1_000)
