"""Helpers for blacksheep applications."""

import typing

import blacksheep
import blacksheep.server.routing

Handler = typing.Callable[
    [blacksheep.Request], typing.Awaitable[blacksheep.Response]
]


def make_app() -> blacksheep.Application:
    """Returns an application with its own router.

    By default, blacksheep applications share one router.
    """
    router = blacksheep.server.routing.Router()
    return blacksheep.Application(router=router)


def add_route(
    app: blacksheep.Application, method: str, path: str, handler: Handler
) -> None:
    """Registers a handler, which may be a bound method, for a path.

    The handler is wrapped in a function because blacksheep sets attributes
    on handlers, which bound methods don't allow.
    """

    async def route(request: blacksheep.Request) -> blacksheep.Response:
        return await handler(request)

    app.router.add(method, path, route)
