"""Names of the platform's HTTP headers, in lower case."""

REQUEST_ID = "x-attempt-id"
TIME_LEFT = "x-deadline-ms"
PROMPT_PARTS = "x-prefix-hash"
LAST_EVENT = "last-event-id"
TEAM = "x-tenant"
KEY = "api-key"
EXPECTED_TARGET = "x-expect-instance"
TARGET_LOAD = "x-instance-load"
NOT_RUN = "x-not-executed"
USAGE = "x-token-usage"
PRIORITY = "x-request-priority"

# The system's to set: what a caller sends under these names is not passed
# on.
SET_BY_SYSTEM = frozenset(
    {
        TIME_LEFT,
        LAST_EVENT,
        TEAM,
        KEY,
        EXPECTED_TARGET,
        PRIORITY,
        "x-expect-version",
        "x-pin-ms",
        "x-kv-hold",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)

# Headers that concern one connection.
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


def named_by_connection(values: list[str]) -> set[str]:
    """Returns the headers that a Connection header names besides."""
    return {
        part.strip().lower() for value in values for part in value.split(",")
    }
