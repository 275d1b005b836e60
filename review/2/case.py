"""A server crashes in the middle of an event of an answer without a length; clients get it as complete."""

import random
import threading
import time
from contextlib import ExitStack
from pathlib import Path

from review.standins.client import Answer, Client
from review.standins.operator import put_configuration
from review.standins.platform import BOUNDS, CannotRunError, Fleet
from review.standins.play import play
from review.standins.servers import ServerProcess

SERVERS = 6  # of them one crashes: a share of 0.17
EVENTS, PAUSE_S = 60, 0.06
CLIENTS = 24
CRASH_AFTER_S = 2.0  # since the first request
SEED = 7


def ask(fleet: Fleet, number: int, wait_s: float, answers: list[Answer]) -> None:
    """One request: every other one on the route that may be resumed."""
    time.sleep(wait_s)
    client = Client(fleet.record, f"client c{number}", fleet.front(1 + number % 3))
    route = "chatter" if number % 2 else "verdict"
    answers.append(client.ask(f"{route}-{number}", f"/{route}/1"))
    client.close()


def case(fleet: Fleet, trouble: bool) -> bool:
    """Whether the rules MIXED and ORDER were broken."""
    rng = random.Random(SEED)
    fleet.start_all()
    if put_configuration(fleet, 7, 30.0) is None:
        raise CannotRunError("the configuration was not taken")
    with ExitStack() as stack:
        options = {"events": EVENTS, "pause_s": PAUSE_S, "framing": "close", "halves": True}
        servers = [
            stack.enter_context(ServerProcess(fleet, f"i-{number}", **options))
            for number in range(1, SERVERS + 1)
        ]
        for server in servers:
            server.wait_for("heartbeat acknowledged")
        fleet.wait_ready()
        time.sleep(float(BOUNDS["ContactMs"]) / 1000.0)
        answers: list[Answer] = []
        threads = [
            threading.Thread(target=ask, args=(fleet, number, rng.random(), answers))
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(CRASH_AFTER_S)
        if trouble:
            busiest = max(servers, key=lambda s: sum("runs " in what for _, what in s.lines()))
            busiest.crash()
        for thread in threads:
            thread.join()
        for server in servers:
            server.note()
    if len(answers) < CLIENTS:
        raise CannotRunError("too few answers")
    return judge(fleet, answers)


def judge(fleet: Fleet, answers: list[Answer]) -> bool:
    """A success that ends as whole answers do, though its last event is torn and others are missing."""
    broken = 0
    for answer in answers:
        torn = not answer.body.endswith(b"\n\n")  # seen by the proxy too: no other end is counted
        if answer.status == 200 and answer.complete and answer.events < EVENTS and torn:
            broken += 1
            fleet.record.add(
                "judge",
                f"MIXED, ORDER: {answer.request_id} ended as complete after {answer.events} events"
                f" of {EVENTS} and {answer.body[-24:]!r}",
            )
    whole = sum(answer.complete and answer.events == EVENTS for answer in answers)
    fleet.record.add("judge", f"{whole} of {len(answers)} streams came whole, {broken} torn but complete")
    return broken > 0


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
