"""HTTP/1.1 with JSON bodies over asyncio: the least that stand-ins and callers need."""

import asyncio
import json


# Longer than any soak.
SILENCE_S = 3600


class Dropped(Exception):
    """The server closes the connection without an answer."""


class Silent(Exception):
    """The server keeps the connection open and never answers."""


async def read_message(reader):
    """First line, headers and body of a message; None at the end of the stream."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n"):
            break
        if not line:
            raise ConnectionError("cut within the headers")
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.decode("latin-1").strip(), headers, body


class Server:
    """Serves `handle(method, path, headers, body)`, which gives a status and a JSON value.

    Its machine can lose its power: then it answers nothing, and when it is on again, connections of before are reset
    by what is sent on them. `keeps_connections`, planted, hands them on to the next process instead.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._boots = 0
        self._has_power = asyncio.Event()
        self._has_power.set()
        self.keeps_connections = False

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def lose_power(self):
        self._boots += 1
        self._has_power.clear()

    def boot(self):
        self._has_power.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        # A connection that was opened without power never reached the machine.
        boots = self._boots if self._has_power.is_set() else None
        try:
            while (message := await read_message(reader)) is not None:
                await self._has_power.wait()
                if boots != self._boots:
                    if not self.keeps_connections:
                        break
                    boots = self._boots
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                try:
                    status, value = await self._handle(method, path, headers, json.loads(body) if body else None)
                except Silent:
                    await asyncio.sleep(SILENCE_S)
                    break
                if boots != self._boots:
                    # The process that took the request has ended without an answer.
                    continue
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (Dropped, ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Connection:
    """A caller's connection, kept open between calls."""

    def __init__(self, host, port):
        self._host, self._port = host, port
        self._streams = None

    async def call(self, method, path, headers, value=None):
        """Status and JSON value. ConnectionError tells how far the call came, as its text:
        "not connected", "no answer" or "cut in the answer"."""
        if self._streams is None:
            try:
                self._streams = await asyncio.open_connection(self._host, self._port)
            except OSError as error:
                raise ConnectionError("not connected") from error
        reader, writer = self._streams
        body = json.dumps(value).encode() if value is not None else b""
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {text}" for name, text in headers.items()]
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            raise ConnectionError("cut in the answer") from error
        except asyncio.CancelledError:
            self.close()
            raise
        if message is None:
            self.close()
            raise ConnectionError("no answer")
        first, answer_headers, body = message
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        try:
            answer = json.loads(body) if body else None
        except ValueError:
            answer = None
        return int(first.split(" ")[1]), answer

    def close(self):
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
