"""Passes connections on to another address, until told to cut or stall them.

A line on standard input is a command: "stall" lets the open connections go
silent for good while new ones work, "cut" resets the open ones. It ends with its
input.
"""

import asyncio
import sys

CHUNK_BYTES = 65536


class Relay:
    """All connections of one listener."""

    def __init__(self, target):
        self.host, self.port = target.rsplit(":", 1)
        self.connections = set()
        self.stalled = set()

    async def copy(self, reader, writer, connection):
        """Moves bytes one way until the end, or for ever silently."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if connection in self.stalled:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if connection not in self.stalled:
            writer.close()

    async def handle_connection(self, reader, writer):
        """Passes one connection on."""
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, int(self.port))
        except OSError:
            writer.transport.abort()
            return
        connection = (writer, target_writer)
        self.connections.add(connection)
        await asyncio.gather(self.copy(reader, target_writer, connection),
                             self.copy(target_reader, writer, connection))
        self.connections.discard(connection)

    def cut(self):
        """Resets the open connections."""
        for writer, target_writer in self.connections:
            writer.transport.abort()
            target_writer.transport.abort()

    def stall(self):
        """Lets the open connections go silent."""
        self.stalled |= self.connections


async def main():
    """Listens, and obeys standard input."""
    relay = Relay(sys.argv[2])
    host, port = sys.argv[1].rsplit(":", 1)
    await asyncio.start_server(relay.handle_connection, host, int(port))
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if line.strip() == "cut":
            relay.cut()
        elif line.strip() == "stall":
            relay.stall()


if __name__ == "__main__":
    asyncio.run(main())
