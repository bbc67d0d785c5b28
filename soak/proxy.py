"""Loopback TCP proxy whose connections can be delayed, reset, cut one way or silenced."""

import asyncio


class Proxy:
    """Passes bytes on to a target. `mode` applies to open connections and new ones:
    open, delay, reset, silent, one_way (nothing comes back)."""

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = set()
        self.mode = "open"
        self.delay_s = 0.2

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self):
        self._server.close()
        self.drop()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.drop()

    def drop(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, back_writer}
        self._writers |= pair
        try:
            await asyncio.gather(self._copy(reader, back_writer, False), self._copy(back_reader, writer, True))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers -= pair
            for each in pair:
                each.transport.abort()

    async def _copy(self, reader, writer, is_answer):
        while data := await reader.read(1 << 16):
            if self.mode == "delay":
                await asyncio.sleep(self.delay_s)
            # Bytes held up by a silenced path are lost; the connection never recovers.
            while self.mode == "silent" or (self.mode == "one_way" and is_answer):
                await asyncio.sleep(0.05)
                data = b""
            if not data:
                raise ConnectionError("bytes were lost")
            writer.write(data)
            await writer.drain()
        raise ConnectionError("closed")
