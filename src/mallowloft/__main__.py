"""Runs the command line as `python -m mallowloft`."""

import sys

from mallowloft import cli

if __name__ == "__main__":
    sys.exit(cli.main())
