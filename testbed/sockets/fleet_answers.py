"""What servers answer, once their model is through with a request."""

from testbed.model import jobs
from testbed.sockets import http
from testbed.sockets.doors import Conn, Host, Reached
from testbed.sockets.fleet_state import FleetState

ENDLESS_S = 0.02  # between two lines of a head that does not end
SPOILT = (  # what can be wrong with an answer; %d and %s are its length and body
    b"banana\r\n\r\n",
    b"\x00\x01\x02\x03\x04\x05\x06\x07\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n%s",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n%s",
    b"HTTP/1.1 200 OK\r\ncontent-length: %d0\r\n\r\n%s",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n%s",
)


class FleetAnswers(FleetState):
    """Looks at servers when they are due, and sends their answers."""

    def mind(self, host: Host) -> None:
        """See to it that a server is looked at when it next has something to say."""
        if host.wake is not None:
            host.wake.cancel()
            host.wake = None
        if host.server.due is not None:
            host.wake = self.after(host.server.due - self.now(), self.due, host)

    def due(self, host: Host) -> None:
        host.wake = None
        for job in host.server.advance(self.now()):
            self.over(host, job)
        self.mind(host)

    def over(self, host: Host, job: jobs.Job) -> None:
        """A server is done with a request: its answer sets out."""
        reached: Reached = job.ticket
        reached.over_at, reached.declined = self.now(), job.outcome == jobs.DECLINED
        operation = job.operation
        if operation is not None and operation.effects > 1 and job.counted:
            self.ran_twice += 1
            text = f"the operation has run {operation.effects} times"
            self.breach("second_effect", reached.over_at, text, reached.proxy, reached.op)
        conn, place = reached.conn, host.place
        if conn is None or not conn.open:
            return
        if self.draws(place.resets):
            conn.reset()
            return
        if self.draws(place.lost):
            return
        if place.late:
            self.after(int(max(place.late) * 1000.0), self.answer, conn, reached, job)
        else:
            self.answer(conn, reached, job)

    def answer(self, conn: Conn, reached: Reached, job: jobs.Job) -> None:
        if conn.reached is not reached:
            return
        conn.reached, conn.idle_from = None, self.loop.time()
        if job.outcome == jobs.DECLINED:
            conn.write(http.answer(503, b"", b"Srv-Declined: 1"))
        elif job.outcome == jobs.ERROR:
            conn.write(http.answer(500))
        else:
            name = b"%d.%d" % (reached.op, reached.number)
            self.serve(conn, b"for %s by %s\n" % (name, conn.host.name.encode()))

    def serve(self, conn: Conn, body: bytes) -> None:
        """A good answer, unless a fault of sockets has it otherwise."""
        wrong = conn.host.place.of_sockets
        if self.draws(wrong.get("endless_head")):
            conn.write(b"HTTP/1.1 200 OK\r\n")
            self.go_on(conn, 0)
        elif self.draws(wrong.get("spoilt")):
            form = SPOILT[int(self.chance() * len(SPOILT))]
            if b"%d" in form:
                conn.write(form % (len(body), body))
            else:
                conn.write(form % body if b"%s" in form else form)
        elif self.draws(wrong.get("surplus")):
            good = http.answer(200, body)
            extra = (good + good, good + b"\x00noise", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 3 + good)
            conn.write(extra[int(self.chance() * len(extra))])
        else:
            conn.write(http.answer(200, body))

    def go_on(self, conn: Conn, count: int) -> None:
        if conn.open:
            conn.write(b"x-%d: without end\r\n" % count)
            conn.endless = self.loop.call_later(ENDLESS_S, self.go_on, conn, count + 1)
