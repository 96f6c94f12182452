"""A stand-in target as a process: an HTTP server that announces itself."""

import asyncio
import time
import uuid

from galenashed.protocol import spread as wire
from galenashed.standins import _announcer
from galenashed import web

LEAVE_SECONDS = 1.0


class StandinServer:
    """Serves a stand-in and announces it to the entries.

    Parameters
    ----------
    standin : StandinEngine or StandinService
        What is served.
    name, service, failure_domain : str
        As announced.
    address : str
        ``ip:port`` to listen on; port 0 takes a free one.
    announced_address : str
        ``ip:port`` told to entries, if it differs.
    entries : list of str
        ``ip:port`` of entries.
    key : str
        The targets' key.
    models : list of str
        Models that it serves.
    """

    def __init__(
        self,
        *,
        standin,
        name: str,
        service: str,
        failure_domain: str,
        address: str,
        entries: list[str],
        key: str,
        models: list[str],
        announced_address: str = "",
    ):
        self.standin = standin
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.address = address
        self.announced_address = announced_address
        self.models = models
        self.incarnation = uuid.uuid4().hex[:12]
        self.started = time.time()
        self.state = "ready"
        self._sequence = 0
        self._http = web.HttpServer(
            app=standin.app, address=address, max_connections=10_000
        )
        self._announcer = _announcer.Announcer(
            entries=entries, key=key, describe=self.describe
        )

    async def start(self) -> None:
        """Starts to serve and to announce."""
        await self.standin.app.start()
        await self._http.start()
        await self._announcer.start()

    async def drain(self) -> None:
        """Leaves: takes no new work and ends what runs."""
        self.state = "leaving"
        await self._announcer.announce()
        await asyncio.sleep(LEAVE_SECONDS)
        await self._announcer.close()
        await self._http.close()

    async def wait_failed(self) -> None:
        """Never returns: nothing here ends by itself."""
        await asyncio.Event().wait()

    async def abort(self) -> None:
        """Stops at once."""
        await self._announcer.close()
        await self._http.abort()

    @property
    def port(self) -> int:
        return self._http.port

    def describe(self) -> wire.Target:
        """Returns the announcement of the moment."""
        self._sequence += 1
        host = self.address.rpartition(":")[0]
        return wire.Target(
            name=self.name,
            incarnation=self.incarnation,
            started=self.started,
            sequence=self._sequence,
            service=self.service,
            address=self.announced_address or f"{host}:{self.port}",
            failure_domain=self.failure_domain,
            state=self.state,
            models=self.models,
            resumes=self.standin.resumes,
            load=self.standin.load(),
        )
