"""In-memory transport for testing protocols without sockets."""

import asyncio


class MemoryTransport(asyncio.Transport):
    """Transport that records written data; the test plays the peer."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.written = b""
        self.closed = False
        protocol.connection_made(self)

    def write(self, data):
        self.written += bytes(data)

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.closed

    def can_write_eof(self):
        return False

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def close(self):
        if not self.closed:
            self.closed = True
            self.protocol.connection_lost(None)

    abort = close

    def receive(self, *pieces):
        """Pass chunks of data from the peer to the protocol."""
        for piece in pieces:
            if self.closed:
                return
            self.protocol.data_received(piece)

    def end(self):
        """Close the peer's side of the connection."""
        if not self.closed and not self.protocol.eof_received():
            self.close()


def split(data, cuts):
    """Split data at the given offsets."""
    offsets = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[start:end] for start, end in zip(offsets, offsets[1:], strict=False)]


async def run_pending_tasks():
    """Run pending tasks until they wait."""
    for _ in range(20):
        await asyncio.sleep(0)
