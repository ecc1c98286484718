"""Loopback TCP proxy that delays, resets, refuses or silences connections."""

import asyncio
import socket
import struct


# Forwards connections to one address; the fleet sets its faults.
class Proxy:
    def __init__(self, host, port):
        self.upstream = (host, port)
        self.refusing = False  # new connections are reset; reset() ends the open ones
        self.silent_directions = set()  # drop all bytes: "in", "out"
        self.delay = 0.0  # of each block of bytes, in seconds
        self.open_writers = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.handle_connection, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def restore(self):
        self.refusing = False
        self.silent_directions = set()
        self.delay = 0.0

    def reset(self):
        for writer in list(self.open_writers):
            self.abort(writer)

    @staticmethod
    def abort(writer):
        raw_socket = writer.get_extra_info("socket")
        if raw_socket is not None:
            try:
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            except OSError:
                pass  # The socket is closed already.
        writer.close()

    async def handle_connection(self, reader, writer):
        if self.refusing:
            return self.abort(writer)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.upstream
            )
        except OSError:
            return self.abort(writer)
        self.open_writers |= {writer, upstream_writer}
        # Bytes dropped while a direction is silenced are not sent again, so a
        # direction of a connection that has lost bytes stays silent until its end.
        stalled = set()
        await asyncio.gather(
            self.forward(reader, upstream_writer, "in", stalled),
            self.forward(upstream_reader, writer, "out", stalled),
        )
        self.open_writers -= {writer, upstream_writer}

    async def forward(self, reader, writer, direction, stalled):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.delay:
                    await asyncio.sleep(self.delay)
                if direction in self.silent_directions:
                    stalled.add(direction)
                if direction in stalled:
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # One side closed the connection; the other is closed below.
        writer.close()
