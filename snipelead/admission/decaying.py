"""Counts whose older contributions fade exponentially."""

__all__ = ['DecayingCount']


class DecayingCount:
    """Sum of the recorded amounts, each of which fades with a half-life.

    Parameters
    ----------
    half_life_s : float
        Time in seconds after which an amount counts half.
    """

    __slots__ = ('half_life_s', 'updated_at', 'value')

    def __init__(self, half_life_s):
        self.half_life_s = half_life_s
        self.value = 0.0
        self.updated_at = 0.0

    def add(self, now, amount=1.0):
        """Record an amount at a time in seconds."""
        self.value = self.get(now) + amount
        self.updated_at = now

    def get(self, now):
        """Return the sum at a time in seconds."""
        if not self.value:
            return 0.0
        age_s = max(0.0, now - self.updated_at)
        return self.value * 0.5 ** (age_s / self.half_life_s)
