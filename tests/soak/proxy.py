"""A loopback proxy that delays, resets, cuts or silences connections."""

import asyncio
import socket
import struct


class Proxy:
    def __init__(self, host, port):
        self.to = (host, port)
        self.cut = False  # new connections are refused, open ones reset
        self.silent = set()  # directions that pass nothing: "in", "out"
        self.delay = 0.0
        self.open = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.connection, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def heal(self):
        self.cut = False
        self.silent = set()
        self.delay = 0.0

    def reset(self):
        for writer in list(self.open):
            self.abort(writer)

    @staticmethod
    def abort(writer):
        raw = writer.get_extra_info("socket")
        if raw is not None:
            try:
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            except OSError:
                pass  # Closed meanwhile.
        writer.close()

    async def connection(self, reader, writer):
        if self.cut:
            return self.abort(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to)
        except OSError:
            return self.abort(writer)
        self.open |= {writer, far_writer}
        # Bytes that a silent spell held up never arrive: the connection stays
        # silent for good once one was lost.
        lost = set()
        await asyncio.gather(
            self.pump(reader, far_writer, "in", lost),
            self.pump(far_reader, writer, "out", lost),
        )
        self.open -= {writer, far_writer}

    async def pump(self, reader, writer, direction, lost):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.delay:
                    await asyncio.sleep(self.delay)
                if direction in self.silent:
                    lost.add(direction)
                if direction in lost:
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # The other side has gone; its end is passed on.
        writer.close()
