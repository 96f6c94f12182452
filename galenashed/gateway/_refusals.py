"""Errors with which the gateway ends requests."""

from galenashed import web

RETRY_AFTER_SECONDS = 0.5
# Retry-After if any other instance can serve the request at once.
RETRY_OTHER_INSTANCE_SECONDS = 0.1


def no_route_error(host: str, path: str) -> web.ApiError:
    """Returns the error of a request that no route matches."""
    return web.ApiError(
        status=404,
        code="no_route",
        message=f"no route for host {host!r} and path {path!r}",
    )


def stopping_error() -> web.ApiError:
    """Returns the error of a request that can't end before the stop."""
    return web.ApiError(
        status=503,
        code="instance_stopping",
        message="this instance stops before the time limit of the request;"
        " use another one",
        retry_after=RETRY_OTHER_INSTANCE_SECONDS,
    )


def overloaded_error(resource: str, *, retry_after: float) -> web.ApiError:
    """Returns the error of a request for which a resource is too scarce."""
    return web.ApiError(
        status=503,
        code="overloaded",
        message=f"this instance is short of its {resource};"
        " use another one, or come back",
        retry_after=retry_after,
    )


def unavailable_error(
    reason: str, *, retry_after: float | None = RETRY_AFTER_SECONDS
) -> web.ApiError:
    """Returns the error of a request that no target has run."""
    return web.ApiError(
        status=503,
        code="targets_unavailable",
        message=f"no target accepted the request: {reason}",
        retry_after=retry_after,
    )


def timeout_error(*, may_have_run: bool) -> web.ApiError:
    """Returns the error of a request whose time limit has passed.

    One that was sent to no target, or rejected by all, may be repeated.
    """
    if not may_have_run:
        return unavailable_error(
            "the time limit passed before a target took it"
        )
    return web.ApiError(
        status=504,
        code="time_limit",
        message="the time limit passed before a response arrived",
        execution_status=web.ExecutionStatus.UNKNOWN,
    )


def stopped_error(*, may_have_run: bool) -> web.ApiError:
    """Returns the error of a request that the stop of this instance cuts."""
    if not may_have_run:
        return stopping_error()
    return web.ApiError(
        status=502,
        code="instance_stopped",
        message="this instance stopped before a response arrived",
        execution_status=web.ExecutionStatus.UNKNOWN,
    )


def target_lost_error(attempt_count: int, reason: str) -> web.ApiError:
    """Returns the error of a request that may have run without a response."""
    return web.ApiError(
        status=502,
        code="target_lost",
        message=f"no response after {attempt_count} attempts: {reason}",
        execution_status=web.ExecutionStatus.UNKNOWN,
    )
