"""Small HTTP/1.1 server and client for the soak's stand-ins."""

import asyncio


class Broken(Exception):
    """The connection ended before the message did."""


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the input."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field:
            raise Broken("end within the headers")
        if field == b"\r\n":
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
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
    """Serves handle(method, path, headers, body) -> (status, headers, body).

    None as an answer closes the connection without one.
    """

    async def connection(reader, writer):
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
                status, fields, text = reply
                writer.write(encode(f"HTTP/1.1 {status} X", fields, text))
                await writer.drain()
        except (Broken, ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            return  # The episode ends.
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port)


async def call(host, port, method, path, headers, body=b"", timeout=5.0):
    """One request on a connection of its own: (status, headers, body).

    Raises OSError when no connection was made, Broken when the answer doesn't
    come whole, asyncio.TimeoutError when it doesn't come in time.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise Broken("no answer")
            line, fields, text = message
            return int(line.split(" ")[1]), fields, text
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
            raise Broken(str(error)) from error
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
