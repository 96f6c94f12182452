"""Names of the platform's HTTP headers, in lower case."""

REQUEST_ID = "x-attempt-id"
TIME_LEFT = "x-deadline-ms"
PROMPT_HASHES = "x-prefix-hash"
LAST_EVENT = "last-event-id"
RESUMED_REQUEST = "resumes"
TEAM = "x-tenant"
API_KEY = "api-key"
EXPECTED_TARGET = "x-expect-instance"
TARGET_LOAD = "x-instance-load"
TARGET_LIMIT = "server-limit"
TARGET_LEAVING = "server-leaving"
MAX_REJECTIONS = "server-brittle"
RETRY_AFTER = "retry-after"
NOT_EXECUTED = "x-not-executed"
TOKEN_USAGE = "x-token-usage"
PRIORITY = "x-request-priority"
# Key of the node that passes a request on, which another one accepts only at
# the address for such requests.
PEER_KEY = "galenashed-peer-key"

# Headers of callers that are not forwarded to targets: the API key, and those
# that targets accept only from the system.
NOT_FORWARDED = frozenset(
    {
        TIME_LEFT,
        LAST_EVENT,
        TEAM,
        API_KEY,
        EXPECTED_TARGET,
        PRIORITY,
        PEER_KEY,
        "x-expect-version",
        "x-pin-ms",
        "x-kv-hold",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)

# Longer numbers are malformed; ``int`` fails on some of them.
MAX_DIGITS = 18

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)


def parse_connection_options(values: list[str]) -> set[str]:
    """Returns the hop-by-hop headers that Connection headers list."""
    return {
        part.strip().lower() for value in values for part in value.split(",")
    }


def is_number(value: str) -> bool:
    """Returns whether a value is a whole number of a usual length."""
    return value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS
