"""Telling a target that is down from one that is up."""

import asyncio
import socket

import testtools

from galenashed import engines


class TestProbe(testtools.TestCase):
    """What a probe says of an address."""

    def probe(self, work) -> bool:
        """Returns the probe's word while ``work`` serves the address."""

        async def run() -> bool:
            sock = socket.create_server(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            task = asyncio.create_task(work(sock))
            try:
                return await engines.TargetClient().is_refusing(address)
            finally:
                task.cancel()
                sock.close()

        return asyncio.run(run())

    def test_target_that_is_up(self):
        async def serve(sock):
            await asyncio.Event().wait()

        self.assertFalse(self.probe(serve))

    def test_target_that_is_down(self):
        async def run():
            with socket.create_server(("127.0.0.1", 0)) as sock:
                address = f"127.0.0.1:{sock.getsockname()[1]}"
            return await engines.TargetClient().is_refusing(address)

        self.assertTrue(asyncio.run(run()))

    def test_target_that_ends_while_it_is_asked(self):
        """Its listening socket takes the probe and then goes."""

        async def serve(sock):
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            conn, _ = await loop.sock_accept(sock)
            sock.close()
            conn.close()

        self.assertTrue(self.probe(serve))
