"""Minimal HTTP/1.1 server and client for the store, targets and callers."""

import asyncio
import socket
import struct


class Broken(Exception):
    """The connection ended before the message did."""


async def read_message(reader):
    """Reads a message: (first line, headers, body), or None at the end of input."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field:
            raise Broken("connection closed within the headers")
        if field == b"\r\n":
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size_line = await reader.readline()
            if not size_line.endswith(b"\r\n"):
                raise Broken("connection closed within the size of a chunk")
            size = int(size_line.split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return line.decode("latin-1").strip(), headers, body


def encode(first_line, headers, body=b""):
    text = first_line + "\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(host, port, handle):
    """Serves requests by handle(method, path, headers, body).

    The handler returns (status, headers, body), bytes to send before the connection
    is reset, or None to close the connection without an answer.
    """

    async def handle_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                reply = await handle(method, path, headers, body)
                if reply is None:
                    return
                if isinstance(reply, bytes):
                    writer.write(reply)
                    await writer.drain()
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                    )
                    return
                status, fields, text = reply
                writer.write(encode(f"HTTP/1.1 {status} X", fields, text))
                await writer.drain()
        except (Broken, ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            return  # The episode has ended.
        finally:
            writer.close()

    return await asyncio.start_server(handle_connection, host, port)


async def call(host, port, method, path, headers, body=b"", timeout=5.0):
    """Sends one request on a new connection: (status, headers, body).

    Raises OSError if the connection fails, Broken if the answer is incomplete or
    invalid, asyncio.TimeoutError if it takes longer than the time-out in seconds.
    An answer without a length could be a part of one, and counts as incomplete.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise Broken("connection closed without an answer")
            line, fields, text = message
            status = int(line.split(" ")[1])
            if not 200 <= status <= 599:
                raise Broken(f"invalid status line {line!r}")
            if not {"content-length", "transfer-encoding"} & fields.keys():
                raise Broken("answer without a length")
            return status, fields, text
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
            raise Broken(str(error)) from error
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
