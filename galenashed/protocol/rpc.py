"""gRPC servers and channels for the internal protocol.

Messages are encoded with ``msgspec``; gRPC transports the bytes.  Every call
carries a key as metadata, that of the peers or of the operators, which the
server checks against the SHA-256 of the keys it accepts.
"""

import asyncio
import collections
import hashlib
import hmac
import time
import typing

import grpc
import grpc.aio
import msgspec

KEY_METADATA = "x-galenashed-key"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Limits of a server: connections by default, calls at the same time on each,
# and the time that a new connection has for its first bytes.  An instance
# opens one connection for each of its parts that calls this one.
MAX_CONNECTIONS = 2000
MAX_STREAMS = 1000
HANDSHAKE_TIMEOUT_MS = 10_000
# What a connection buffers before a call reads it.  With the estimate of gRPC
# it grows to some MB on each connection, also for calls without a key.
WINDOW_BYTES = 1024 * 1024
# Longer than any call on a channel of a pool may take.
IDLE_CHANNEL_SECONDS = 6.0

# Keepalive pings detect an unresponsive peer within seconds; the short backoff
# reconnects soon after a network partition ends.
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
    ("grpc.max_concurrent_streams", MAX_STREAMS),
    ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", WINDOW_BYTES),
]

RpcError = grpc.aio.AioRpcError


class Method:
    """One RPC method of the internal protocol.

    ``kind`` is ``unary``, ``client_stream`` or ``bidi``.  A caller needs the
    key of one of the ``roles``.
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

    @property
    def name(self) -> str:
        """The last part of the path."""
        return self.path.rpartition("/")[2]


def hash_key(key: str) -> str:
    """Returns the hexadecimal SHA-256 of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_matches(key: str, key_hash: str) -> bool:
    """Whether a key has the given hash, compared in constant time."""
    return hmac.compare_digest(hash_key(key), key_hash)


class Traffic:
    """Bytes of the messages that this process has exchanged, by method.

    What gRPC and TCP add to them is not counted.
    """

    def __init__(self) -> None:
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()


TRAFFIC = Traffic()


def _make_encoder(method: "Method") -> typing.Callable[[typing.Any], bytes]:
    name = method.name

    def encode(message: typing.Any) -> bytes:
        data = msgspec.msgpack.encode(message)
        TRAFFIC.sent[name] += len(data)
        return data

    return encode


def _make_decoder(
    method: "Method", message_type: typing.Any
) -> typing.Callable[[bytes], typing.Any]:
    name = method.name
    decode_bytes = msgspec.msgpack.Decoder(message_type).decode

    def decode(data: bytes) -> typing.Any:
        TRAFFIC.received[name] += len(data)
        return decode_bytes(data)

    return decode


class _KeyInterceptor(grpc.aio.ServerInterceptor):
    """Rejects calls without the key of a role that the method allows."""

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
        # A handler of streams does not read the message before it rejects
        # the call, also if the method is unary.
        if method.kind == "bidi":
            return grpc.stream_stream_rpc_method_handler(_reject_wrong_key)
        return grpc.stream_unary_rpc_method_handler(_reject_wrong_key)


async def _reject_wrong_key(request, context):
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong key")


class Server:
    """A gRPC server for a set of methods.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; port 0 selects a free port.
    keys : dict
        Maps each role to the SHA-256 of its key, in hexadecimal.
    handlers : list of (Method, callable)
        Each handler is a coroutine function, or an async generator function
        for a ``bidi`` method.
    max_connections : int
        Connections that may be open; more are closed.
    """

    def __init__(
        self, *, address, keys, handlers, max_connections=MAX_CONNECTIONS
    ):
        self.address = address
        self.port = 0
        methods = [method for method, _ in handlers]
        interceptors = [_KeyInterceptor(keys, methods)]
        self._server = grpc.aio.server(
            interceptors=interceptors,
            options=[
                *SERVER_OPTIONS,
                ("grpc.max_allowed_incoming_connections", max_connections),
            ],
        )
        services: dict[str, dict] = {}
        for method, handler in handlers:
            _, service, name = method.path.split("/")
            rpc_handler = _make_handler(method, handler)
            services.setdefault(service, {})[name] = rpc_handler
        for service, rpc_handlers in services.items():
            generic_handler = grpc.method_handlers_generic_handler(
                service, rpc_handlers
            )
            self._server.add_generic_rpc_handlers((generic_handler,))

    async def start(self) -> None:
        """Starts the server; raises RuntimeError if the address is in use."""
        self.port = self._server.add_insecure_port(self.address)
        await self._server.start()

    async def close(self, grace: float = 0.2) -> None:
        """Stops the server; calls in progress get ``grace`` seconds to end."""
        await self._server.stop(grace)


def _make_handler(method: Method, handler):
    factories = {
        "unary": grpc.unary_unary_rpc_method_handler,
        "client_stream": grpc.stream_unary_rpc_method_handler,
        "bidi": grpc.stream_stream_rpc_method_handler,
    }
    return factories[method.kind](
        handler,
        request_deserializer=_make_decoder(method, method.request),
        response_serializer=_make_encoder(method),
    )


class Channel:
    """A gRPC client connection to one peer.

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
            factories = {
                "unary": self._channel.unary_unary,
                "client_stream": self._channel.stream_unary,
                "bidi": self._channel.stream_stream,
            }
            stub = factories[method.kind](
                method.path,
                request_serializer=_make_encoder(method),
                response_deserializer=_make_decoder(method, method.reply),
            )
            self._stubs[method.path] = stub
        return stub

    async def call(self, method: Method, request, *, timeout: float):
        """Calls a unary method; raises RpcError if the call fails."""
        return await self._stub(method)(
            request, timeout=timeout, metadata=self._metadata
        )

    def open(self, method: Method):
        """Opens a stream for a streaming method."""
        return self._stub(method)(metadata=self._metadata)

    async def close(self) -> None:
        """Closes the connection and cancels its calls."""
        await self._channel.close()


class ChannelPool:
    """Channels to peers, opened when they are first used.

    One that was not used for ``IDLE_CHANNEL_SECONDS`` is closed: it would cost
    both ends a part of their processor time, and those that an entry asks for
    loans or origins are in the end all others.

    Parameters
    ----------
    key : str
        Key that all nodes share.
    """

    def __init__(self, *, key: str):
        self.key = key
        self._channels: dict[str, Channel] = {}
        self._used_at: dict[str, float] = {}
        self._closing: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._channels)

    def get(self, address: str) -> Channel:
        """Returns the channel to an address, and closes idle ones."""
        now = time.monotonic()
        self._used_at[address] = now
        channel = self._channels.get(address)
        if channel is None:
            self.close_idle(now)
            channel = Channel(address=address, key=self.key)
            self._channels[address] = channel
        return channel

    def close_idle(self, now: float) -> None:
        """Closes the channels that were not used for a time."""
        idle = [
            address
            for address, used_at in self._used_at.items()
            if now - used_at > IDLE_CHANNEL_SECONDS
        ]
        for address in idle:
            del self._used_at[address]
            task = asyncio.create_task(
                self._channels.pop(address).close(), name="idle channel"
            )
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close()
        await asyncio.gather(*self._closing)
