"""Reading the settings file again while the program runs."""

import asyncio
import pathlib
import tempfile
from unittest import mock

import testtools

from galenashed.platform import _program
from galenashed.platform import _settings

WAIT_SECONDS = 10.0
SETTINGS = """
nodeName = "node-1"
ip = "127.0.0.1"
zone = "east"
portRange = [7340, 7341]
seeds = ["127.0.0.2:7000"{more_seeds}]
[listen]
front = "127.0.0.1:7001"
readiness = "127.0.0.1:7002"
control = "127.0.0.1:7003"
directory = "127.0.0.1:7004"
"""


class TestSettingsFile(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.toml"
        patched = mock.patch.object(_program, "SETTINGS_POLL_SECONDS", 0.01)
        patched.start()
        self.addCleanup(patched.stop)

    def write_settings(self, more_seeds=""):
        self.path.write_text(SETTINGS.format(more_seeds=more_seeds))

    def test_change_during_the_start_is_reloaded(self):
        self.write_settings()
        asyncio.run(self.change_during_the_start())

    async def change_during_the_start(self):
        version = _settings.read_file_version(self.path)
        program = _program.Program(
            cfg=_settings.read_settings(self.path),
            path=self.path,
            file_version=version,
        )
        self.write_settings(more_seeds=', "127.0.0.3:7000"')
        task = asyncio.create_task(program._watch_settings_file())
        async with asyncio.timeout(WAIT_SECONDS):
            while len(program.cfg.seeds) < 2:
                await asyncio.sleep(0.01)
        task.cancel()
