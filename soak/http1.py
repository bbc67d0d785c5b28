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

    Its machine can lose its power: then it answers nothing. What becomes of calls under way:
    lost: they are; when the machine is on again, connections of before are reset by what is sent on them
    kept: connections stay open, and the next process reads what was sent without power
    late: as `lost`, but `on_late(path, headers, body)` gets the calls
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        # What became of calls under way, by loss of power.
        self._losses = []
        self._has_power = asyncio.Event()
        self._has_power.set()
        self._moment, self._on_moment = None, None
        self.on_late = None

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)

    async def stop(self):
        self._server.close()
        self.reset_connections()

    def reset_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def call_at(self, moment, call):
        """Calls once, when a connection is `opened` or half of an answer is sent (`answer`)."""
        self._moment, self._on_moment = moment, call

    def _reach(self, moment):
        if self._moment == moment:
            self._moment = None
            self._on_moment()

    def lose_power(self, calls="lost"):
        self._losses.append(calls)
        self._has_power.clear()

    def boot(self):
        self._has_power.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        # A connection that was opened without power never reached the machine.
        losses = len(self._losses) if self._has_power.is_set() else -1
        self._reach("opened")
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                body = json.loads(body) if body else None
                if losses != len(self._losses):
                    self._lose(path, headers, body)
                    await self._has_power.wait()
                    if set(self._losses[losses:]) != {"kept"}:
                        break
                    losses = len(self._losses)
                try:
                    status, value = await self._handle(method, path, headers, body)
                except Silent:
                    await asyncio.sleep(SILENCE_S)
                    break
                if losses != len(self._losses):
                    # The process that took the request has ended without an answer.
                    self._lose(path, headers, body)
                    continue
                text = json.dumps(value).encode()
                text = (f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(text)}\r\n\r\n").encode() + text
                sent = len(text) // 2 if self._moment == "answer" else len(text)
                writer.write(text[:sent])
                await writer.drain()
                if sent < len(text):
                    self._reach("answer")
                    if value.get("reason") != "fence":
                        self._lose(path, headers, body)
                    await self._has_power.wait()
                    break
        except (Dropped, ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def _lose(self, path, headers, body):
        if self._losses and self._losses[-1] == "late":
            self.on_late(path, headers, body)


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
