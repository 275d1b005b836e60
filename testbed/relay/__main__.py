"""The relay by itself: `python -m testbed.relay relay SCRIPT.toml`."""

import sys

from testbed.relay.commands import main

sys.exit(main())
