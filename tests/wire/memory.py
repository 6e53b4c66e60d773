"""A transport in memory, for protocols without sockets."""

import asyncio


class MemoryTransport(asyncio.Transport):
    """Keeps what is written, and ends as it is told."""

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
        """Hand bytes of the far end to the protocol, a piece after the other."""
        for piece in pieces:
            if self.closed:
                return
            self.protocol.data_received(piece)

    def end(self):
        """Let the far end close its side."""
        if not self.closed and not self.protocol.eof_received():
            self.close()


def split(data, cuts):
    """Return data in pieces that end at some places."""
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[start:end] for start, end in zip(places, places[1:], strict=False)]


async def let_run():
    """Let tasks go on until they wait."""
    for _ in range(20):
        await asyncio.sleep(0)
