"""HTTP/1.1 server whose machine can lose its power or its network."""

import asyncio
import json

from soak.http1 import read_message


class Closed(Exception):
    """The connection ends without an answer."""


class MachineServer:
    """Serves `handle(method, path, headers, body)`.

    Without power or behind a cut nothing is read and nothing is answered, as DEPLOY.md says of such machines. Connections
    of before a loss of power are reset when their client sends on them again.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.has_power = True
        self.boots = 0
        self._path_open = asyncio.Event()
        self._path_open.set()

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def lose_power(self):
        self.has_power = False
        self.boots += 1

    def boot(self):
        self.has_power = True

    def crash(self):
        """The process ends and its machine stays: connections are reset, new ones are refused."""
        self.boots += 1
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self):
        self._path_open.clear()

    def heal(self):
        self._path_open.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        boots, opened_with_power = self.boots, self.has_power
        try:
            while (message := await read_message(reader)) is not None:
                if boots != self.boots or not opened_with_power or not self.has_power:
                    if self.has_power:
                        break
                    # The bytes reach a machine that is off.
                    boots = -1
                    continue
                await self._path_open.wait()
                if boots != self.boots:
                    continue
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                status, value = await self._handle(method, path, headers, json.loads(body) if body else None)
                if boots != self.boots:
                    # The life that took the request is over; its answer was never sent.
                    continue
                await self._path_open.wait()
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (Closed, ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
