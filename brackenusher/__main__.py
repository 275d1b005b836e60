"""``python -m brackenusher``."""

import sys

from brackenusher.cli import main

if __name__ == "__main__":
    sys.exit(main())
