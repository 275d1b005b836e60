"""The header fields that the data plane reads, sets and strips. Does no I/O."""

from dataclasses import dataclass

Header = tuple[bytes, bytes]

REQUEST_ID = b"x-brackenusher-request-id"
DEADLINE = b"x-brackenusher-deadline-ms"
EXPECT_INSTANCE = b"x-brackenusher-expect-instance"
TENANT_ID = b"x-brackenusher-tenant-id"
PRIORITY = b"x-brackenusher-priority"  # spelling not final: see docs/questions.md
MODEL = b"x-brackenusher-model"
TOKEN_COUNTS = b"x-brackenusher-token-counts"
PROMPT_PREFIX = b"x-brackenusher-prompt-prefix"
RESPONSE_STAMP = b"x-brackenusher-response-stamp"
NOT_EXECUTED = b"x-brackenusher-not-executed"
API_KEY = b"api-key"
LAST_EVENT_ID = b"last-event-id"
CONTENT_ENCODING = b"content-encoding"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
LENGTH_HEADERS = frozenset((CONTENT_LENGTH,))

# Hop-by-hop fields (RFC 9110, 7.6.1), in addition to those listed in Connection.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
    )
)
# Set by the proxy for each attempt; the client's values are dropped.
PROXY_SET_HEADERS = frozenset((API_KEY, TENANT_ID, EXPECT_INSTANCE, DEADLINE, CONTENT_LENGTH, b"expect"))


@dataclass(slots=True)
class RequestMetadata:
    """The headers of a request that the proxy evaluates. Empty or None if absent or malformed."""

    request_id: bytes | None = None
    has_duplicate_id: bool = False
    host: str = ""
    api_key: str | None = None
    deadline_ms: float | None = None
    model: str = ""
    token_counts: tuple[int, int] | None = None  # of the prompt, and the maximum to generate
    prompt_segments: tuple[tuple[str, int], ...] = ()
    last_event_id: str | None = None
    content_length: int | None = None
    chunked: bool = False


def parse_request_metadata(headers: list[Header]) -> RequestMetadata:
    """Parse the headers (names in lower case) that the proxy evaluates."""
    metadata = RequestMetadata()
    for name, value in headers:
        if name == REQUEST_ID:
            metadata.has_duplicate_id = metadata.request_id is not None
            metadata.request_id = value
        elif name == b"host":
            metadata.host = value.decode("latin-1")
        elif name == API_KEY:
            metadata.api_key = value.decode("latin-1")
        elif name == DEADLINE:
            metadata.deadline_ms = parse_nonnegative(value)
        elif name == MODEL:
            metadata.model = value.decode("latin-1")
        elif name == TOKEN_COUNTS:
            metadata.token_counts = parse_token_counts(value)
        elif name == PROMPT_PREFIX:
            metadata.prompt_segments = parse_prompt_segments(value)
        elif name == LAST_EVENT_ID:
            metadata.last_event_id = value.decode("latin-1")
        elif name == CONTENT_LENGTH:
            metadata.content_length = int(value)  # validated by h11
        elif name == TRANSFER_ENCODING:
            metadata.chunked = True
    return metadata


def parse_nonnegative(value: bytes) -> float | None:
    """A finite number that is not negative, or None."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def parse_token_counts(value: bytes) -> tuple[int, int] | None:
    """Parse a pair such as "1460,80"; None if malformed."""
    prompt, _, output = value.partition(b",")
    try:
        return max(0, int(prompt)), max(0, int(output))
    except ValueError:
        return None


def parse_prompt_segments(value: bytes) -> tuple[tuple[str, int], ...]:
    """Parse segments such as "5c1e07a2:800,91bd3f06:410" (name:tokens); empty if one is malformed."""
    segments = []
    try:
        for segment in value.decode("latin-1").split(","):
            name, _, tokens = segment.strip().partition(":")
            segments.append((name, int(tokens)))
    except ValueError:
        return ()
    return tuple(segments)


def connection_options(headers: list[Header]) -> set[bytes]:
    """The names listed in Connection fields, in lower case."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            options.update(option.strip().lower() for option in value.split(b","))
    return options


def end_to_end_headers(headers: list[Header], dropped: frozenset[bytes] = frozenset()) -> list[Header]:
    """The headers (names in lower case) to forward to the next hop, without those in `dropped`."""
    connection_headers = connection_options(headers)
    return [
        header
        for header in headers
        if header[0] not in HOP_BY_HOP and header[0] not in dropped and header[0] not in connection_headers
    ]


def forwarded_response_headers(headers: list[Header], may_continue_elsewhere: bool) -> list[Header]:
    """The headers of a response to forward, with its length only if that is the length of what is sent on.

    Chunks override a stated length (RFC 9112, 6.3), and a response that another server may continue may end
    up with another length than its first server stated.
    """
    if may_continue_elsewhere or has_two_lengths(headers):
        return end_to_end_headers(headers, LENGTH_HEADERS)
    return end_to_end_headers(headers)


def has_two_lengths(headers: list[Header]) -> bool:
    """Whether a response states a length and comes in chunks."""
    names = {name for name, _ in headers}
    return CONTENT_LENGTH in names and TRANSFER_ENCODING in names


def common_request_headers(
    headers: list[Header], metadata: RequestMetadata, body_length: int, tenant: str
) -> list[Header]:
    """The headers shared by all attempts: those forwarded, the content length and the tenant."""
    common = end_to_end_headers(headers, PROXY_SET_HEADERS)
    if body_length or metadata.chunked or metadata.content_length is not None:
        common.append((CONTENT_LENGTH, b"%d" % body_length))
    if tenant:
        common.append((TENANT_ID, tenant.encode("latin-1", "replace")))
    return common


def attempt_headers(
    common: list[Header], server_id: str, remaining_ms: float, priority: int | None, last_event_id: str | None
) -> list[Header]:
    """The headers of one attempt: `common`, server, remaining time, priority and resume point."""
    headers = (
        [header for header in common if header[0] != LAST_EVENT_ID]
        if last_event_id is not None
        else list(common)
    )
    if priority is not None:
        headers = [header for header in headers if header[0] != PRIORITY]
        headers.append((PRIORITY, b"%d" % priority))
    if last_event_id is not None:
        headers.append((LAST_EVENT_ID, last_event_id.encode("latin-1")))
    headers.append((DEADLINE, b"%d" % max(1, int(remaining_ms))))
    headers.append((EXPECT_INSTANCE, server_id.encode("latin-1")))
    return headers


def states_body_end(headers: list[Header]) -> bool:
    """Whether a response tells where its body ends; else it ends with its connection (RFC 9112, 6.3)."""
    return any(name in (CONTENT_LENGTH, TRANSFER_ENCODING) for name, _ in headers)


def first_value(headers: list[Header], field_name: bytes) -> bytes | None:
    """The value of the first header with this name (in lower case), or None."""
    for name, value in headers:
        if name == field_name:
            return value
    return None


def keep_alive_seconds(headers: list[Header]) -> float | None:
    """The timeout stated in a Keep-Alive header, in seconds, or None."""
    value = first_value(headers, b"keep-alive")
    if value is None:
        return None
    for option in value.split(b","):
        name, _, seconds = option.strip().partition(b"=")
        if name.lower() == b"timeout":
            return parse_nonnegative(seconds)
    return None
