"""A proxy takes a request 3 s and more after its SIGTERM, passes it on, and cuts its answer."""

import signal
import threading
import time
from pathlib import Path

from review.standins.client import Answer, Client
from review.standins.operator import put_configuration
from review.standins.platform import BOUNDS, PROXY, CannotRunError, Fleet
from review.standins.play import play
from review.standins.servers import ServerProcess

EVENTS, PAUSE_S = 90, 0.06  # as the stream of the sheet with 90 events: 5.4 s
FIRST_SENT_S = (2.2, 1.8, 1.4, 1.0, 0.6, 0.2)  # before the SIGTERM: they end 3.2 to 5.2 s after it
LATE_S = 3.0  # requests sent up to then after the SIGTERM are excused
SIGKILL_AFTER_S = float(BOUNDS["GraceS"])


def ask_twice(fleet: Fleet, name: str, wait_until: float, answers: list[Answer]) -> None:
    """Two requests, one after the other, on one connection as long as the proxy keeps it."""
    time.sleep(max(0.0, wait_until - fleet.record.now()))
    client = Client(fleet.record, f"client {name}", fleet.front(1))
    first = client.ask(f"{name}-first", "/verdict/1")
    answers.append(first)
    if first.complete and first.keeps:
        answers.append(client.ask(f"{name}-second", "/verdict/2"))
    client.close()


def case(fleet: Fleet, trouble: bool) -> bool:
    """Whether the rule LOST was broken."""
    fleet.start_all()
    if put_configuration(fleet, 7, 30.0) is None:
        raise CannotRunError("the configuration was not taken")
    with ServerProcess(fleet, "i-1", events=EVENTS, pause_s=PAUSE_S) as server:
        server.wait_for("heartbeat acknowledged")
        fleet.wait_ready()
        time.sleep(float(BOUNDS["ContactMs"]) / 1000.0)
        sigterm_at = fleet.record.now() + max(FIRST_SENT_S) + 0.3
        answers: list[Answer] = []
        threads = [
            threading.Thread(target=ask_twice, args=(fleet, f"c{i}", sigterm_at - before_s, answers))
            for i, before_s in enumerate(FIRST_SENT_S)
        ]
        for thread in threads:
            thread.start()
        time.sleep(max(0.0, sigterm_at - fleet.record.now()))
        proxy = fleet.program(PROXY, 1)
        if trouble:
            sigterm_at = fleet.signal(proxy, signal.SIGTERM)
        end = sigterm_at + SIGKILL_AFTER_S
        while fleet.record.now() < end and proxy.running:
            time.sleep(0.01)
        if trouble and proxy.running:
            fleet.signal(proxy, signal.SIGKILL)
        for thread in threads:
            thread.join()
        server.note()
        if sum(answer.complete for answer in answers if answer.request_id.endswith("first")) < len(threads):
            raise CannotRunError("a first answer was not whole")
        return judge(fleet, server, answers, sigterm_at)


def judge(fleet: Fleet, server: ServerProcess, answers: list[Answer], sigterm_at: float) -> bool:
    """A request that a server ran, sent late, whose connection ended without a whole answer."""
    run = {what.split(" ")[1] for _, what in server.lines() if what.startswith("runs ")}
    lost = 0
    for answer in answers:
        late_s = answer.sent_at - sigterm_at
        # A request that isn't passed on does not count, nor one that was sent up to 3 s after the SIGTERM.
        if not answer.complete and answer.request_id in run and late_s > LATE_S:
            lost += 1
            fleet.record.add(
                "judge",
                f"LOST: {answer.request_id}, sent {late_s:.2f} s after the SIGTERM, was passed on;"
                f" its connection ended at {answer.ended_at - sigterm_at:.2f} s after {answer.events} events"
                f" of {EVENTS}",
            )
    fleet.record.add("judge", f"{lost} of {len(answers)} requests lost")
    return lost > 0


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
