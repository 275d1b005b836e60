"""Turn servers and discovery's agent at the addresses that a configuration names, until Ctrl-C.

python examples/world.py [CONFIG]
"""

import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

from testbed.standins import DiscoveryAgent, Message, TurnServer, response  # noqa: E402


def always(answer: bytes) -> Callable[[Any, Message], bytes]:
    return lambda server, message: answer


def main() -> int:
    path = sys.argv[1] if len(sys.argv) > 1 else Path(__file__).with_name("config.json")
    config = json.loads(Path(path).read_text(encoding="utf-8"))
    hosts = config["known"]["hosts"]
    for entry in hosts:
        answer = response(200, f"board of {entry['host']}\n".encode())
        TurnServer(always(answer), int(entry["dial"].rpartition(":")[2]))
    DiscoveryAgent(hosts, int(config["discovery"].rpartition(":")[2]))
    print(f"{len(hosts)} turn servers and an agent", flush=True)
    signal.sigwait([signal.SIGINT, signal.SIGTERM])
    return 0


if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGINT, signal.SIGTERM])
    sys.exit(main())
