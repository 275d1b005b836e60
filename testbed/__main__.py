"""`python -m testbed`."""

import sys

from testbed.cli import main

if __name__ == "__main__":
    sys.exit(main())
