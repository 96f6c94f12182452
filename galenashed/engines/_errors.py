"""Errors that tell whether a target may have executed a request."""


class NotSentError(Exception):
    """No byte of the request was sent."""


class TargetLostError(Exception):
    """The connection failed; the request may have been executed."""
