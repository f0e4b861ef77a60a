"""Dictionary that keeps the most recently set keys."""

from collections import OrderedDict

__all__ = ['BoundedDict']


class BoundedDict(OrderedDict):
    """Dictionary of bounded size that evicts the least recently set key.

    Parameters
    ----------
    max_keys : int
        Maximum number of keys.
    """

    def __init__(self, max_keys):
        super().__init__()
        self.max_keys = max_keys

    def __setitem__(self, key, value):
        super().__setitem__(key, value)
        self.move_to_end(key)
        if len(self) > self.max_keys:
            self.popitem(last=False)
