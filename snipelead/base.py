"""Base class of the objects that are configured by parameters."""

import inspect

from snipelead.utils.validation import check_parameters

__all__ = ['Parametrized']


class Parametrized:
    """Object whose constructor only stores its parameters.

    Subclasses declare ``_parameter_constraints``, a dictionary from the name
    of a parameter to a list of constraints (see
    :mod:`snipelead.utils.validation`). The parameters are checked when the
    object is first used, by calling :meth:`check_parameters`.
    """

    _parameter_constraints: dict = {}

    def get_parameters(self):
        """Return the constructor's parameters with their values."""
        names = inspect.signature(type(self).__init__).parameters
        return {n: getattr(self, n) for n in names if n != 'self'}

    def check_parameters(self):
        """Check all parameters against the declared constraints.

        Raises
        ------
        InvalidParameterError
            Naming the parameter, the value got and the values allowed.
        """
        check_parameters(
            type(self).__name__,
            self.get_parameters(),
            self._parameter_constraints,
        )

    def __repr__(self):
        shown = ', '.join(
            f'{k}={v!r}' for k, v in self.get_parameters().items()
        )
        return f'{type(self).__name__}({shown})'
