"""Maps gRPC statuses to the outcomes of the policy: answered, declined or failed.

Sources, by the names used below:

- codes: "Status codes and their use in gRPC", doc/statuscodes.md of the grpc project.
- A6: gRPC proposal A6, "gRPC Retry Design": what commits a call, transparent retries, pushback.
- H2: RFC 9113, sections 5.1.2, 6.8 and 8.7: streams refused or beyond GOAWAY's last id did not run.
- site: the platform's protocol, where `srv-declined: 1` says that a request was declined and not executed.

Only `srv-declined: 1` in the trailing metadata proves that a started call was not executed (site). No status
does. `codes` lists UNAVAILABLE and RESOURCE_EXHAUSTED both for servers that decline a call and for ones that
failed in the middle, and warns that retrying is "not always safe". H2 gives proofs, but grpcio reports them
as the same UNAVAILABLE, with a text that a server may send too; see docs/design/rpc.md. Pushback (A6) says
when to retry, not that nothing was executed.
"""

import grpc

from barleybarrow.interface import Outcome

Code = grpc.StatusCode

DECLINED_METADATA = "srv-declined"  # trailing metadata, "1": declined, not executed (site)
PUSHBACK_METADATA = "grpc-retry-pushback-ms"  # trailing metadata of a refusal (A6)
PREVIOUS_ATTEMPTS_METADATA = "grpc-previous-rpc-attempts"  # metadata of an attempt that is not the first (A6)

# The server has processed the call, and any other would return the same. The status goes to the caller.
FINAL_STATUSES = {
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

# The server or an intermediary failed. The call may have been executed.
FAILURE_STATUSES = {
    Code.UNKNOWN: "codes: an exception in the server's application, or an error space that is not known",
    Code.INTERNAL: "codes: invariants broken; also a flow-control or parse error in the library",
    Code.DATA_LOSS: "codes: unrecoverable loss or corruption",
    Code.UNAVAILABLE: "codes: shutting down, or the transport broke; repeating is not always safe",
    Code.RESOURCE_EXHAUSTED: "codes: out of quota, memory or message size; a too large answer has run",
    Code.CANCELLED: "codes: cancelled, typically by the caller; here by the server, as its own call was",
    Code.DEADLINE_EXCEEDED: "codes: may come even if the operation has completed; here the server's own",
}

# Details of a status that grpcio generates when a connection is lost, over its versions. A server can send
# the same texts, so they prove nothing; they show the loss a little sooner than the connectivity state.
CONNECTION_LOST_DETAILS = ("Socket closed", "Connection reset", "Broken pipe", "GOAWAY received")


def is_declined(metadata: object) -> bool:
    """Whether trailing metadata say that the call was declined and not executed."""
    pairs = list(metadata) if metadata is not None else []  # type: ignore[call-overload]
    return any(name == DECLINED_METADATA and value == "1" for name, value in pairs)


def classify_status(
    code: grpc.StatusCode, details: str | None, trailing: object, deadline_passed: bool, connection_lost: bool
) -> Outcome:
    """The outcome of a call that was started.

    `deadline_passed`: the attempt's own deadline. `connection_lost`: it was lost meanwhile, which
    distinguishes a crash from a server that returned UNAVAILABLE; either may have executed the call.

    Outcome.SERVED means that the server's reply goes to the caller, whatever its status.
    """
    if code is not Code.OK and is_declined(trailing):
        return Outcome.FULL
    if code in FINAL_STATUSES:
        return Outcome.SERVED
    if code is Code.DEADLINE_EXCEEDED and deadline_passed:
        return Outcome.TIMEOUT
    if code is Code.UNAVAILABLE and (
        connection_lost or any(text in (details or "") for text in CONNECTION_LOST_DETAILS)
    ):
        return Outcome.RESET
    return Outcome.ERROR
