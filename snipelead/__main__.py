"""Entry point of ``python -m snipelead``."""

from snipelead.cli.application import main

if __name__ == '__main__':
    main()
