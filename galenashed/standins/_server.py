"""HTTP server of a stand-in target, which announces it to the entries."""

import asyncio
import time
import uuid

from galenashed.protocol import gossip as wire
from galenashed.standins import _announcer
from galenashed import web

# Time between the announcement that the target is leaving and the close of
# its server, in which entries stop sending requests.
DRAIN_DELAY_SECONDS = 1.0


class StandinServer:
    """Serves a stand-in target and announces it to the entries.

    Parameters
    ----------
    standin : StandinEngine or StandinService
        Target to serve.
    name, service, failure_domain : str
        Fields of the announcement.
    address : str
        ``ip:port`` to listen on; port 0 selects a free port.
    announced_address : str
        ``ip:port`` to announce, if it differs from the address to listen on.
    entries : list of str
        ``ip:port`` of entries.
    key : str
        Key that authenticates targets.
    models : list of str
        Models that it announces.
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
            entries=entries, key=key, make_announcement=self.make_announcement
        )

    async def start(self) -> None:
        """Starts the server and the announcements."""
        await self.standin.app.start()
        await self._http.start()
        await self._announcer.start()

    async def drain(self) -> None:
        """Announces that the target is leaving and closes the server.

        Requests that have started run to their end.
        """
        self.state = "leaving"
        await self._announcer.announce()
        await asyncio.sleep(DRAIN_DELAY_SECONDS)
        await self._announcer.close()
        await self._http.close()

    async def wait_for_failure(self) -> None:
        """Never returns, as a stand-in target does not detect failures."""
        await asyncio.Event().wait()

    async def abort(self) -> None:
        """Closes the server without waiting for running requests."""
        await self._announcer.close()
        await self._http.abort()

    @property
    def port(self) -> int:
        return self._http.port

    def make_announcement(self) -> wire.Target:
        """Returns the current announcement, with the next sequence number."""
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
            version=self.standin.software_version,
            load=self.standin.load(),
        )
