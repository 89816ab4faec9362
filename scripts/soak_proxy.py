"""A TCP proxy on loopback that delays, resets, silences or halves connections."""

import asyncio

CHUNK = 16384
HELD_S = 0.02  # between two looks at whether a held direction may go on


class Proxy:
    """Stands before one listener; its mode holds for all its connections."""

    MODES = ("delayed", "silent", "one_way")

    def __init__(self):
        self.mode = "well"
        self.delay_s = 0.05
        self.server = None
        self.writers = set()

    async def start(self, host, port, to_host, to_port):
        async def take(reader, writer):
            try:
                await self._take(reader, writer, to_host, to_port)
            except asyncio.CancelledError:
                pass  # the rig has ended
        self.server = await asyncio.start_server(take, host, port)

    async def stop(self):
        self.server.close()
        self.reset()
        await self.server.wait_closed()

    def reset(self):
        """Resets all connections that stand."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _take(self, reader, writer, to_host, to_port):
        try:
            far_reader, far_writer = await asyncio.open_connection(to_host,
                                                                   to_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        there = asyncio.ensure_future(self._pump(reader, far_writer, False))
        back = asyncio.ensure_future(self._pump(far_reader, writer, True))
        try:
            await asyncio.gather(there, back)
        finally:
            there.cancel()
            back.cancel()
            for each in (writer, far_writer):
                self.writers.discard(each)
                each.close()

    def _holds(self, is_back):
        return self.mode == "silent" or (self.mode == "one_way" and is_back)

    async def _pump(self, reader, writer, is_back):
        """Passes on bytes and then the end of one direction."""
        try:
            while chunk := await reader.read(CHUNK):
                while self._holds(is_back):
                    await asyncio.sleep(HELD_S)
                if self.mode == "delayed":
                    await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()
            while self._holds(is_back):
                await asyncio.sleep(HELD_S)
            # Servers and routers close both directions at once.
            writer.close()
        except (ConnectionError, OSError):
            writer.transport.abort()
