"""A small HTTP/1.1 server and client on asyncio, for stand-ins."""

import asyncio
import json
import urllib.parse


class Reply:
    """What a handler answers; None instead of a reply sends nothing."""

    def __init__(self, status, body=None):
        self.status = status
        self.body = b"" if body is None else json.dumps(body).encode()

    def encode(self):
        head = (f"HTTP/1.1 {self.status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(self.body)}\r\n\r\n")
        return head.encode() + self.body


RESET = object()


class Request:
    def __init__(self, method, target, headers, body, peer):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = headers
        self.body = body
        self.peer = peer

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Returns the first line, the headers and the body of one message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """Serves `handler(request) -> Reply | None | RESET`. None keeps the
    connection open without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.address = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    @property
    def endpoint(self):
        return f"{self.address[0]}:{self.address[1]}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, headers, body,
                                  writer.get_extra_info("peername"))
                request.is_gone = lambda: (
                    reader.at_eof() or reader.exception() is not None)
                reply = await self.handler(request)
                if reply is RESET:
                    break
                if reply is None:
                    await asyncio.sleep(3600)
                writer.write(reply.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            if writer.transport is not None:
                writer.transport.abort()

    async def stop(self):
        """Closes the port and all connections, as when the process ends."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if writer.transport is not None:
                writer.transport.abort()
        self.writers.clear()


async def call(endpoint, method, path, body=None, headers=None, timeout=5.0):
    """Returns (status, JSON body), or (None, reason) without an answer."""
    host, port = endpoint.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                     "Content-Type: application/json"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            line, _, answer = await read_message(reader)
            try:
                decoded = json.loads(answer) if answer else {}
            except ValueError:
                decoded = answer.decode("latin-1")
            return int(line.split()[1]), decoded
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return None, type(error).__name__
