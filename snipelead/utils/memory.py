"""Memory of the process."""

import ctypes

__all__ = ['release_free_memory']


def release_free_memory():
    """Give free memory of the C allocator back to the system.

    Does nothing where the C library has no ``malloc_trim``.
    """
    library = ctypes.CDLL(None)
    trim = getattr(library, 'malloc_trim', None)
    if trim is not None:
        trim(0)
