"""What a gRPC status means for the module: answered, turned away, failed; and whether it proves anything.

Sources, by the names used below:

- codes: "Status codes and their use in gRPC", doc/statuscodes.md of the grpc project.
- A6: gRPC proposal A6, "gRPC Retry Design": what commits a call, transparent retries, pushback.
- H2: RFC 9113, sections 5.1.2, 6.8 and 8.7: streams refused or beyond GOAWAY's last id did not run.
- site: the platform's protocol, where `srv-declined: 1` says that a request was turned away and never ran.

One thing alone proves that a started call never ran: `srv-declined: 1` in its trailing metadata (site).
No status does. `codes` lists UNAVAILABLE and RESOURCE_EXHAUSTED for servers that turn a call away as well as
for ones that broke off in the middle, and warns that repeating is "not always safe". H2 gives proofs, but
grpcio reports them as the same UNAVAILABLE, with a text that a server may send too; see docs/design/rpc.md.
Pushback (A6) says when to come back, not that nothing ran.
"""

import grpc

from barleybarrow.interface import Outcome

Code = grpc.StatusCode

DECLINED = "srv-declined"  # trailing metadata, "1": turned away, never ran (site)
PUSHBACK = "grpc-retry-pushback-ms"  # trailing metadata of a refusal (A6)
PREVIOUS = "grpc-previous-rpc-attempts"  # metadata of an attempt that is not the first (A6)

# The server has dealt with the call and says so; another would say the same. The answer is the caller's.
ANSWERS = {
    Code.OK: "codes: returned on success",
    Code.INVALID_ARGUMENT: "codes: the arguments are wrong regardless of the state of the system",
    Code.NOT_FOUND: "codes: the entity asked for is not there",
    Code.ALREADY_EXISTS: "codes: what was to be made is there already; it may be an earlier attempt's work",
    Code.PERMISSION_DENIED: "codes: the caller may not; must not be used for exhausted resources",
    Code.UNAUTHENTICATED: "codes: the caller's credentials are not valid",
    Code.FAILED_PRECONDITION: "codes: do not retry until the system's state has been explicitly fixed",
    Code.ABORTED: "codes: retry at a higher level, as of a whole read-modify-write",
    Code.OUT_OF_RANGE: "codes: past the valid range; the state must change first",
    Code.UNIMPLEMENTED: "codes: the method is not known there; as a rule nowhere in the fleet",
}

# The server failed at it, or what is between did. It may have run.
FAILURES = {
    Code.UNKNOWN: "codes: an exception in the server's application, or an error space that is not known",
    Code.INTERNAL: "codes: invariants broken; also a flow-control or parse error in the library",
    Code.DATA_LOSS: "codes: unrecoverable loss or corruption",
    Code.UNAVAILABLE: "codes: shutting down, or the transport broke; repeating is not always safe",
    Code.RESOURCE_EXHAUSTED: "codes: out of quota, memory or message size; a too large answer has run",
    Code.CANCELLED: "codes: cancelled, typically by the caller; here by the server, as its own call was",
    Code.DEADLINE_EXCEEDED: "codes: may come even if the operation has completed; here the server's own",
}

# In the details of a status that the library made as a connection went, over its versions. A server can say
# the same, so they prove nothing; they tell of a process that went, a little sooner than the state does.
GONE = ("Socket closed", "Connection reset", "Broken pipe", "GOAWAY received")


def declined(metadata: object) -> bool:
    """Whether trailing metadata say that the call was turned away and never ran."""
    pairs = list(metadata) if metadata is not None else []  # type: ignore[call-overload]
    return any(name == DECLINED and value == "1" for name, value in pairs)


def judge(
    code: grpc.StatusCode, details: str | None, trailing: object, time_up: bool, broken: bool
) -> Outcome:
    """The outcome of a call that was started.

    `time_up`: the attempt's own time has passed. `broken`: the connection has gone meanwhile, which tells a
    server that went from one that said UNAVAILABLE; both may have run the call.

    Outcome.SERVED means that what the server said is the caller's answer, whatever its status.
    """
    if code is not Code.OK and declined(trailing):
        return Outcome.FULL
    if code in ANSWERS:
        return Outcome.SERVED
    if code is Code.DEADLINE_EXCEEDED and time_up:
        return Outcome.TIMEOUT
    if code is Code.UNAVAILABLE and (broken or any(text in (details or "") for text in GONE)):
        return Outcome.RESET
    return Outcome.ERROR
