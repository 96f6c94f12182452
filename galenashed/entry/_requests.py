"""Parsing and validation of model requests."""

import hashlib
import typing
import uuid

import msgspec

from galenashed.protocol import control as wire
from galenashed import web

PREFIX_BYTES = 1024
MAX_IDEMPOTENCY_KEY_BYTES = 256

PRIORITIES = {"interactive": 0, "batch": 1}


class ModelRequest:
    """One validated model request.

    ``token_bound`` is an upper bound of its prompt and output tokens: a
    token of a byte-level vocabulary covers at least one byte, so the length
    of the body bounds the prompt tokens, and the JSON around the prompt
    covers what a chat template adds.  ``id`` identifies the request within
    its team.  ``attempt`` identifies this execution of the request, over all
    its tries at targets.
    """

    __slots__ = (
        "attempt",
        "body",
        "digest",
        "id",
        "keyed",
        "max_output",
        "model",
        "part_ids",
        "path",
        "prefix",
        "priority",
        "prompt_bound",
        "stream",
        "token_bound",
        "wants_usage",
    )

    def __init__(self, *, path: str, fields: dict, model: wire.Model):
        self.path = path
        self.model = model
        self.stream = bool(fields.get("stream", False))
        options = fields.get("stream_options") or {}
        self.wants_usage = bool(options.get("include_usage", False))
        self.max_output = _max_output(fields, model)
        self.body = dict(fields)
        self.body.pop("max_completion_tokens", None)
        self.body["max_tokens"] = self.max_output
        if self.stream:
            self.body["stream_options"] = {"include_usage": True}
        prompt = fields.get("messages", fields.get("prompt"))
        encoded = msgspec.json.encode(prompt)
        self.prefix = encoded[:PREFIX_BYTES]
        whole = msgspec.json.encode(fields)
        self.prompt_bound = len(whole)
        self.token_bound = self.prompt_bound + self.max_output
        self.digest = hashlib.sha256(whole).hexdigest()
        # The last message is the request's own.
        self.part_ids = [
            hashlib.sha256(msgspec.json.encode(message)).hexdigest()[:32]
            for message in fields.get("messages", ())[:-1]
        ]
        self.attempt = uuid.uuid4().hex
        self.id = self.attempt
        self.keyed = False
        self.priority = PRIORITIES["interactive"]

    def set_idempotency_key(self, key: str) -> None:
        """Derives the request's id from the caller's key and the content."""
        named = hashlib.sha256(f"{key}\0{self.digest}".encode())
        self.id = named.hexdigest()[:32]
        self.keyed = True


def parse_model_request(
    path: str, body: bytes, models: dict[str, wire.Model]
) -> ModelRequest:
    """Parses and validates a request body; raises ApiError."""
    try:
        fields = msgspec.json.decode(body)
    except msgspec.DecodeError as exc:
        raise _bad_request(f"the body is not JSON: {exc}") from None
    if not isinstance(fields, dict):
        raise _bad_request("the body is not a JSON object")
    _check_prompt(path, fields)
    _check_options(fields)
    name = fields.get("model")
    model = models.get(name) if isinstance(name, str) else None
    if model is None:
        raise web.ApiError(
            status=404,
            code="model_not_found",
            message=f"model: {name!r} is not in force; allowed:"
            f" {', '.join(sorted(models))}",
        )
    return ModelRequest(path=path, fields=fields, model=model)


def _check_prompt(path: str, fields: dict) -> None:
    if path.endswith("/chat/completions"):
        messages = fields.get("messages") or []
        valid = isinstance(messages, list) and messages
        if not valid or not all(isinstance(m, dict) for m in messages):
            raise _bad_request(
                "messages: allowed: a non-empty list of objects"
            )
    elif not isinstance(fields.get("prompt"), str):
        raise _bad_request("prompt: allowed: a string")


def _check_options(fields: dict) -> None:
    if not isinstance(fields.get("stream", False), bool):
        raise _bad_request("stream: allowed: true or false")
    if not isinstance(fields.get("stream_options") or {}, dict):
        raise _bad_request("stream_options: allowed: an object")
    for name in ("n", "best_of"):
        if fields.get(name, 1) not in (1, None):
            raise _bad_request(f"{name}: {fields[name]!r}; allowed: 1")


def _max_output(fields: dict, model: wire.Model) -> int:
    value = fields.get("max_completion_tokens", fields.get("max_tokens"))
    if value is None:
        return model.max_output
    valid = isinstance(value, int) and not isinstance(value, bool)
    if not valid or not 1 <= value <= model.max_output:
        raise _bad_request(
            f"max_tokens: {value!r}; allowed: an integer from 1 to"
            f" {model.max_output}"
        )
    return value


def _bad_request(message: str) -> web.ApiError:
    return web.ApiError(status=400, code="bad_request", message=message)


def parse_idempotency_key(value: bytes | None) -> str:
    """Returns the caller's idempotency key, or an empty string."""
    if value is None:
        return ""
    key = value.decode("latin-1").strip()
    if (
        not key
        or len(key) > MAX_IDEMPOTENCY_KEY_BYTES
        or not key.isprintable()
    ):
        raise _bad_request(
            f"Idempotency-Key: allowed: 1 to {MAX_IDEMPOTENCY_KEY_BYTES}"
            " printable characters"
        )
    return key


def parse_priority(value: bytes | None) -> int:
    """Returns the priority that the header's value selects."""
    if value is None:
        return PRIORITIES["interactive"]
    name = value.decode("latin-1")
    if name not in PRIORITIES:
        raise _bad_request(
            f"Galenashed-Priority: {name!r}; allowed: {', '.join(PRIORITIES)}"
        )
    return PRIORITIES[name]


def parse_usage(response: typing.Any) -> tuple[int, int] | None:
    """Returns the prompt and output tokens that a response reports."""
    usage = response.get("usage") if isinstance(response, dict) else None
    if not isinstance(usage, dict):
        return None
    prompt = usage.get("prompt_tokens")
    output = usage.get("completion_tokens", 0)
    if not isinstance(prompt, int) or not isinstance(output, int):
        return None
    return max(0, prompt), max(0, output)
