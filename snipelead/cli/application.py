"""The ``snipelead`` command."""

__all__ = ['main']


def main():
    """Run the command line."""
    raise SystemExit(2)
