"""Base class of objects with validated constructor parameters."""

import inspect

from snipelead.utils.validation import check_parameters

__all__ = ['Parametrized']


class Parametrized:
    """Base class of objects whose constructor only stores its parameters.

    Subclasses define ``_parameter_constraints``, which maps the name of each
    parameter to a list of constraints (see
    :mod:`snipelead.utils.validation`). Subclasses validate their parameters
    on first use by calling :meth:`check_parameters`.
    """

    _parameter_constraints: dict = {}

    def get_parameters(self):
        """Return the constructor parameters.

        Returns
        -------
        dict of str to object
            Values by parameter name.
        """
        names = inspect.signature(type(self).__init__).parameters
        return {n: getattr(self, n) for n in names if n != 'self'}

    def check_parameters(self):
        """Validate all parameters against the constraints.

        Raises
        ------
        InvalidParameterError
            If a value is not allowed. The message names the parameter, the
            value and the allowed values.
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
