"""The header fields that the data plane reads, sets and strips. Only bytes and numbers: no sockets here."""

from dataclasses import dataclass

Header = tuple[bytes, bytes]

REQUEST_ID = b"x-brackenusher-request-id"
DEADLINE = b"x-brackenusher-deadline-ms"
EXPECT_INSTANCE = b"x-brackenusher-expect-instance"
TENANT_ID = b"x-brackenusher-tenant-id"
PRIORITY = b"x-brackenusher-priority"  # spelling not settled: see docs/questions.md
MODEL = b"x-brackenusher-model"
TOKEN_COUNTS = b"x-brackenusher-token-counts"
PROMPT_PREFIX = b"x-brackenusher-prompt-prefix"
RESPONSE_STAMP = b"x-brackenusher-response-stamp"
NOT_EXECUTED = b"x-brackenusher-not-executed"
API_KEY = b"api-key"
LAST_EVENT_ID = b"last-event-id"

# These concern one connection only (RFC 9110, 7.6.1), besides those that Connection names.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Set by the proxy itself on each send, whatever the client sent.
REPLACED_ON_REQUESTS = frozenset(
    (API_KEY, TENANT_ID, EXPECT_INSTANCE, DEADLINE, b"content-length", b"expect")
)


@dataclass(slots=True)
class RequestFacts:
    """What the headers of one request say to the proxy. Empty or None: absent or not readable."""

    request_id: bytes | None = None
    has_two_ids: bool = False
    host: str = ""
    api_key: str | None = None
    deadline_ms: float | None = None
    model: str = ""
    token_counts: tuple[int, int] | None = None  # of the prompt, and the most that is generated
    prompt_parts: tuple[tuple[str, int], ...] = ()
    last_event_id: str | None = None
    content_length: int | None = None
    chunked: bool = False


def read_request_facts(headers: list[Header]) -> RequestFacts:
    """What the headers (names in lower case) say to the proxy."""
    facts = RequestFacts()
    for name, value in headers:
        if name == REQUEST_ID:
            facts.has_two_ids = facts.request_id is not None
            facts.request_id = value
        elif name == b"host":
            facts.host = value.decode("latin-1")
        elif name == API_KEY:
            facts.api_key = value.decode("latin-1")
        elif name == DEADLINE:
            facts.deadline_ms = read_number(value)
        elif name == MODEL:
            facts.model = value.decode("latin-1")
        elif name == TOKEN_COUNTS:
            facts.token_counts = read_token_counts(value)
        elif name == PROMPT_PREFIX:
            facts.prompt_parts = read_prompt_parts(value)
        elif name == LAST_EVENT_ID:
            facts.last_event_id = value.decode("latin-1")
        elif name == b"content-length":
            facts.content_length = int(value)  # checked by h11
        elif name == b"transfer-encoding":
            facts.chunked = True
    return facts


def read_number(value: bytes) -> float | None:
    """A number that is neither negative nor infinite, or None."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def read_token_counts(value: bytes) -> tuple[int, int] | None:
    """The two numbers of "1460,80", or None."""
    prompt, _, output = value.partition(b",")
    try:
        return max(0, int(prompt)), max(0, int(output))
    except ValueError:
        return None


def read_prompt_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    """The parts of "5c1e07a2:800,91bd3f06:410" in order; empty where one cannot be read."""
    parts = []
    try:
        for part in value.decode("latin-1").split(","):
            name, _, tokens = part.strip().partition(":")
            parts.append((name, int(tokens)))
    except ValueError:
        return ()
    return tuple(parts)


def connection_options(headers: list[Header]) -> set[bytes]:
    """The names that the Connection fields list, in lower case."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            options.update(option.strip().lower() for option in value.split(b","))
    return options


def end_to_end(headers: list[Header], dropped: frozenset[bytes] = frozenset()) -> list[Header]:
    """The headers (names in lower case) that go on to the next hop, without those in `dropped`."""
    named = connection_options(headers)
    return [
        header
        for header in headers
        if header[0] not in HOP_BY_HOP and header[0] not in dropped and header[0] not in named
    ]


def request_base(headers: list[Header], facts: RequestFacts, body_length: int, tenant: str) -> list[Header]:
    """The headers that are the same at each send: what passes through, the length and the tenant."""
    base = end_to_end(headers, REPLACED_ON_REQUESTS)
    if body_length or facts.chunked or facts.content_length is not None:
        base.append((b"content-length", b"%d" % body_length))
    if tenant:
        base.append((TENANT_ID, tenant.encode("latin-1", "replace")))
    return base


def send_headers(
    base: list[Header], server_id: str, left_ms: float, priority: int | None, last_event_id: str | None
) -> list[Header]:
    """The headers of one send: `base`, the server it is meant for, the time left (milliseconds)."""
    headers = (
        [header for header in base if header[0] != LAST_EVENT_ID] if last_event_id is not None else list(base)
    )
    if priority is not None:
        headers = [header for header in headers if header[0] != PRIORITY]
        headers.append((PRIORITY, b"%d" % priority))
    if last_event_id is not None:
        headers.append((LAST_EVENT_ID, last_event_id.encode("latin-1")))
    headers.append((DEADLINE, b"%d" % max(1, int(left_ms))))
    headers.append((EXPECT_INSTANCE, server_id.encode("latin-1")))
    return headers


def first_value(headers: list[Header], wanted: bytes) -> bytes | None:
    """The value of the first header of this name (lower case), or None."""
    for name, value in headers:
        if name == wanted:
            return value
    return None


def keep_alive_seconds(headers: list[Header]) -> float | None:
    """The time that a Keep-Alive header states, in seconds, or None."""
    value = first_value(headers, b"keep-alive")
    if value is None:
        return None
    for option in value.split(b","):
        name, _, seconds = option.strip().partition(b"=")
        if name.lower() == b"timeout":
            return read_number(seconds)
    return None
