"""Forwards TCP connections to another address, and resets or stalls them.

Usage: relay.py LISTEN TARGET. Each line on standard input is a command: "stall"
stops forwarding on the open connections for good while new ones work, "cut"
resets the open ones. Exits at the end of the input.
"""

import asyncio
import sys

CHUNK_BYTES = 65536


class Relay:
    """Forwards the connections of one listener."""

    def __init__(self, target):
        self.host, self.port = target.rsplit(":", 1)
        self.connections = set()
        self.stalled = set()

    async def copy(self, reader, writer, connection):
        """Copies bytes one way until the end or until stalled."""
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
        """Forwards one connection to the target."""
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
        """Stops forwarding on the open connections."""
        self.stalled |= self.connections


async def main():
    """Listens and runs commands from standard input."""
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
