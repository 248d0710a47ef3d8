"""Clients that send long bodies: in chunks at full speed, or over slow links."""

import asyncio
import contextlib
import re
import socket
import time

READ_BYTES = 65536


def make_body(size: int, chunk: int) -> bytes:
    """Return a body of `size` bytes in chunks of `chunk` bytes, as it is sent."""
    piece = f"{chunk:x}\r\n".encode() + b"t" * chunk + b"\r\n"
    return piece * (size // chunk) + b"0\r\n\r\n"


def upload(port: int, identity: str, path: str, body: bytes, deadline_ms: int) -> str:
    """Send one request on a channel of its own; return its status, or how the channel ended.

    It blocks, so it runs in a thread: the event loop of the script does not slow it down.
    """
    head = (
        f"POST {path} HTTP/1.1\r\nHost: pule25.example\r\nRequest-Id: {identity}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    until = time.monotonic() + deadline_ms / 1000 + 1.0
    try:
        channel = socket.create_connection(("127.0.0.1", port), timeout=1.0)
    except OSError:
        return "no channel"
    with contextlib.suppress(OSError), channel:
        channel.settimeout(max(0.1, until - time.monotonic()))
        channel.sendall(head.encode() + body)
        text = b""
        while b"\r\n\r\n" not in text:
            data = channel.recv(READ_BYTES)
            if not data:
                return "closed without an answer"
            text += data
        return re.match(rb"HTTP/1\.1 (\d+)", text)[1].decode()
    return "reset, or no answer in time"


async def upload_slowly(
    port: int, identity: str, path: str, size: int, seconds: float, deadline_ms: int
) -> str:
    """Send a body with a length over a slow link; return the status, or how the channel ended."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: pule25.example\r\nRequest-Id: {identity}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\nContent-Length: {size}\r\n\r\n"
    )
    pieces = max(1, size // READ_BYTES)
    piece = b"t" * READ_BYTES
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode())
            began = time.monotonic()
            for number in range(pieces):
                writer.write(piece)
                await writer.drain()
                due = began + seconds * (number + 1) / pieces
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            text = await reader.readuntil(b"\r\n\r\n")
            return re.match(rb"HTTP/1\.1 (\d+)", text)[1].decode()
    except (OSError, asyncio.IncompleteReadError):
        return "the channel ended without an answer"
    except TimeoutError:
        return "no answer in time"
    finally:
        if writer is not None:
            writer.close()
