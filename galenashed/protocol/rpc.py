"""gRPC servers and channels for the inner protocol.

Messages are encoded by ``msgspec``; gRPC carries the bytes.  Every call
presents the peers' shared key as metadata, compared by its SHA-256.
"""

import hashlib
import hmac
import typing

import grpc
import grpc.aio
import msgspec

KEY_METADATA = "x-galenashed-key"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

# Finds a silent peer within seconds and comes back soon after a partition.
CHANNEL_OPTIONS = [
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 300),
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
]
SERVER_OPTIONS = [
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.http2.min_ping_interval_without_data_ms", 1000),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1000),
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.so_reuseport", 0),
]

RpcError = grpc.aio.AioRpcError


class Method:
    """One method of the inner protocol.

    ``kind`` is ``unary``, ``client_stream`` or ``bidi``; ``roles`` are
    those whose key opens it.
    """

    __slots__ = ("kind", "path", "reply", "request", "roles")

    def __init__(
        self,
        *,
        path: str,
        kind: str,
        request: typing.Any,
        reply: typing.Any,
        roles: tuple[str, ...] = ("peer",),
    ):
        self.path = path
        self.roles = roles
        self.kind = kind
        self.request = request
        self.reply = reply


def hash_key(key: str) -> str:
    """Returns the hexadecimal SHA-256 of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_matches(key: str, key_hash: str) -> bool:
    """Compares in constant time."""
    return hmac.compare_digest(hash_key(key), key_hash)


def _decoder(kind: typing.Any) -> typing.Callable[[bytes], typing.Any]:
    return msgspec.msgpack.Decoder(kind).decode


class _KeyInterceptor(grpc.aio.ServerInterceptor):
    """Turns away calls whose key does not open the method."""

    def __init__(self, keys: dict[str, str], methods: list[Method]):
        self._keys = keys
        self._methods = {method.path: method for method in methods}

    async def intercept_service(self, continuation, details):
        method = self._methods.get(details.method)
        if method is None:
            return await continuation(details)
        key = dict(details.invocation_metadata).get(KEY_METADATA, "")
        for role in method.roles:
            if key_matches(key, self._keys.get(role, "")):
                return await continuation(details)
        if method.kind == "unary":
            return grpc.unary_unary_rpc_method_handler(_deny)
        if method.kind == "bidi":
            return grpc.stream_stream_rpc_method_handler(_deny)
        return grpc.stream_unary_rpc_method_handler(_deny)


async def _deny(request, context):
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong key")


class Server:
    """A gRPC server of some methods.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; port 0 takes a free one.
    keys : dict
        SHA-256 of the key of each role.
    handlers : list of (Method, callable)
        Coroutine functions, or for ``bidi`` an async generator function.
    """

    def __init__(self, *, address, keys, handlers):
        self.address = address
        self.port = 0
        methods = [method for method, _ in handlers]
        interceptors = [_KeyInterceptor(keys, methods)]
        self._server = grpc.aio.server(
            interceptors=interceptors, options=SERVER_OPTIONS
        )
        services: dict[str, dict] = {}
        for method, handler in handlers:
            _, service, name = method.path.split("/")
            made = _make_handler(method, handler)
            services.setdefault(service, {})[name] = made
        for service, made in services.items():
            generic = grpc.method_handlers_generic_handler(service, made)
            self._server.add_generic_rpc_handlers((generic,))

    async def start(self) -> None:
        """Binds the address; raises RuntimeError if it is taken."""
        self.port = self._server.add_insecure_port(self.address)
        await self._server.start()

    async def close(self, grace: float = 0.2) -> None:
        """Stops; calls get ``grace`` seconds to end."""
        await self._server.stop(grace)


def _make_handler(method: Method, handler):
    makers = {
        "unary": grpc.unary_unary_rpc_method_handler,
        "client_stream": grpc.stream_unary_rpc_method_handler,
        "bidi": grpc.stream_stream_rpc_method_handler,
    }
    return makers[method.kind](
        handler,
        request_deserializer=_decoder(method.request),
        response_serializer=msgspec.msgpack.encode,
    )


class Channel:
    """A connection to one peer.

    Example::

        channel = rpc.Channel(address="127.0.0.1:7001", key=key)
        outcome = await channel.call(PROPOSE, command, timeout=2.0)
        await channel.close()
    """

    def __init__(self, *, address: str, key: str):
        self.address = address
        self._metadata = [(KEY_METADATA, key)]
        self._channel = grpc.aio.insecure_channel(
            address, options=CHANNEL_OPTIONS
        )
        self._stubs: dict[str, typing.Any] = {}

    def _stub(self, method: Method):
        stub = self._stubs.get(method.path)
        if stub is None:
            makers = {
                "unary": self._channel.unary_unary,
                "client_stream": self._channel.stream_unary,
                "bidi": self._channel.stream_stream,
            }
            stub = makers[method.kind](
                method.path,
                request_serializer=msgspec.msgpack.encode,
                response_deserializer=_decoder(method.reply),
            )
            self._stubs[method.path] = stub
        return stub

    async def call(self, method: Method, request, *, timeout: float):
        """Calls a unary method; raises RpcError."""
        return await self._stub(method)(
            request, timeout=timeout, metadata=self._metadata
        )

    def open(self, method: Method):
        """Opens a stream."""
        return self._stub(method)(metadata=self._metadata)

    async def close(self) -> None:
        """Closes the connection and ends its calls."""
        await self._channel.close()
