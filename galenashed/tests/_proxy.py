"""TCP proxy that injects network faults."""

import asyncio
import socket
import threading


class Link:
    """Proxied address; its faults apply to open connections too.

    ``forward`` and ``backward`` are the modes of the two directions:
    ``pass``; ``drop``, which discards bytes silently, like a network
    partition; or ``hold``, which buffers them until the link is healed.
    ``delay`` is in seconds in each direction.  ``held_chunks`` counts the
    chunks that were buffered.
    """

    def __init__(self, upstream: str):
        self.upstream = upstream
        self.address = ""
        self.forward = "pass"
        self.backward = "pass"
        self.delay = 0.0
        self.refuse = False
        self.held_chunks = 0
        self.writers: set[asyncio.StreamWriter] = set()

    def heal(self) -> None:
        """Removes all faults."""
        self.forward = "pass"
        self.backward = "pass"
        self.delay = 0.0
        self.refuse = False


class Proxy:
    """Runs all links of a test in one event loop thread."""

    def __init__(self) -> None:
        self.links: list[Link] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the event loop thread."""
        self._thread.start()

    def close(self) -> None:
        """Closes all connections and stops the thread."""
        self._call(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _call(self, coro):
        return asyncio.run_coroutine_threadsafe(coro, self._loop).result(10)

    def add(self, upstream: str) -> Link:
        """Listens on a free port and returns a link to ``ip:port``."""
        link = Link(upstream)
        self._call(self._listen(link))
        self.links.append(link)
        return link

    async def _listen(self, link: Link) -> None:
        async def accept(reader, writer):
            await self._relay(link, reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link.address = f"127.0.0.1:{port}"

    async def _relay(self, link: Link, reader, writer) -> None:
        link.writers.add(writer)
        try:
            if link.refuse:
                return
            host, _, port = link.upstream.rpartition(":")
            up_reader, up_writer = await asyncio.open_connection(host, port)
            link.writers.add(up_writer)
            try:
                await asyncio.gather(
                    self._pump(link, "forward", reader, up_writer),
                    self._pump(link, "backward", up_reader, writer),
                )
            finally:
                link.writers.discard(up_writer)
                up_writer.close()
        except OSError:
            pass
        finally:
            link.writers.discard(writer)
            writer.close()

    async def _pump(self, link: Link, direction: str, reader, writer) -> None:
        while data := await reader.read(65536):
            if link.delay:
                await asyncio.sleep(link.delay)
            if getattr(link, direction) == "hold":
                link.held_chunks += 1
            while getattr(link, direction) == "hold":
                await asyncio.sleep(0.01)
            if getattr(link, direction) == "pass":
                writer.write(data)
                await writer.drain()
        # A peer behind a partition must not see the connection close.
        while getattr(link, direction) == "drop":
            await asyncio.sleep(0.05)
        writer.close()

    def reset(self, link: Link) -> None:
        """Resets every open connection of a link."""
        self._call(self._reset(link))

    async def _reset(self, link: Link) -> None:
        for writer in list(link.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                # With a linger timeout of 0, closing sends RST.
                option = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()
