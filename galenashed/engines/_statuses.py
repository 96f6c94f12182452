"""Which statuses a response may have."""

SWITCHING_PROTOCOLS = 101


def is_interim_status(status: int) -> bool:
    """Whether another response follows; no request offers a protocol."""
    return 100 <= status < 200 and status != SWITCHING_PROTOCOLS


def is_final_status(status: int) -> bool:
    """Whether a response with this status may answer a request."""
    return 200 <= status < 600
