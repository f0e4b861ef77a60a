"""Review of the customers of a release."""

from snipelead.authentication.keys import requires_authentication
from snipelead.releases.document import AUTHENTICATION_SETTING
from snipelead.releases.findings import FindingKind
from snipelead.releases.findings import make_warning

__all__ = ['review_customers']


def _review_limits(customer, entry):
    if customer.rate_per_s > 0 and customer.burst < 1:
        yield make_warning(
            FindingKind.RATE_WITHOUT_BURST,
            f'rate_per_s is {customer.rate_per_s:g} but burst is'
            f' {customer.burst:g}, less than one request, so requests pass'
            " only by the tolerance in the deployment's settings",
            entry,
        )
    if customer.burst > 0 and customer.rate_per_s == 0:
        yield make_warning(
            FindingKind.BURST_WITHOUT_RATE,
            f'burst is {customer.burst:g} but without rate_per_s requests'
            ' are not limited',
            entry,
        )


def review_customers(release, is_complete):
    """Yield the findings about the customers of a release.

    Parameters
    ----------
    release : Release
        Release to review.
    is_complete : bool
        Whether the release contains all entries, not only those of a note.

    Yields
    ------
    Finding
    """
    priorities = {route.priority for route in release.routes.values()}
    for customer in release.customers.values():
        entry = f'customer {customer.name!r}'
        if not customer.api_keys:
            yield make_warning(
                FindingKind.NO_KEYS,
                'has no API key, so no request is identified as its own',
                entry,
            )
        elif is_complete and not requires_authentication(release):
            yield make_warning(
                FindingKind.KEYS_NOT_CHECKED,
                f'its keys are ignored unless {AUTHENTICATION_SETTING} is'
                ' true',
                entry,
            )
        yield from _review_limits(customer, entry)
        if (
            is_complete
            and priorities
            and customer.priority is not None
            and customer.priority not in priorities
        ):
            yield make_warning(
                FindingKind.FOREIGN_PRIORITY,
                f'no route has its priority {customer.priority}',
                entry,
            )
