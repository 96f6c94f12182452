"""Making blacksheep applications of bound methods."""

import typing

import blacksheep
import blacksheep.server.routing

Handler = typing.Callable[
    [blacksheep.Request], typing.Awaitable[blacksheep.Response]
]


def make_app() -> blacksheep.Application:
    """Returns an application with routes of its own."""
    router = blacksheep.server.routing.Router()
    return blacksheep.Application(router=router)


def add_route(
    app: blacksheep.Application, method: str, path: str, handler: Handler
) -> None:
    """Routes a path to a handler, which may be a bound method."""

    async def route(request: blacksheep.Request) -> blacksheep.Response:
        return await handler(request)

    app.router.add(method, path, route)
