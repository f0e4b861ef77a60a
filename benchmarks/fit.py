"""Least-squares fits of straight lines to measurements."""

from msgspec import Struct
import numpy as np

__all__ = ['Line', 'fit_line']


class Line(Struct, frozen=True):
    """Line ``y = intercept + slope * x`` fitted by least squares.

    Parameters
    ----------
    slope, intercept : float
        Coefficients.
    r_squared : float
        Coefficient of determination.
    points : tuple of (float, float)
        Measurements that the line is fitted to.
    """

    slope: float
    intercept: float
    r_squared: float
    points: tuple[tuple[float, float], ...]

    def predict(self, x):
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit_line(points):
    """Fit a line by least squares.

    Parameters
    ----------
    points : sequence of (float, float)
        Measurements (x, y) with at least two different values of x.

    Returns
    -------
    Line
    """
    points = tuple((float(x), float(y)) for x, y in points)
    x, y = np.array(points).T
    slope, intercept = np.polyfit(x, y, 1)
    residual = float(np.sum((y - (intercept + slope * x)) ** 2))
    total = float(np.sum((y - y.mean()) ** 2))
    r_squared = 1.0 - residual / total if total else 1.0
    return Line(float(slope), float(intercept), r_squared, points)
