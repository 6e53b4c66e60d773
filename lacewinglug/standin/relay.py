"""Stand-in of a network path: a TCP relay that is slow, goes silent or is cut."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from enum import Enum

_CHUNK_BYTES = 65536


class PathState(Enum):
    """What the relay does with a connection; one way, no answer comes back."""

    FORWARD = "forward"
    ONE_WAY = "one_way"
    SILENT = "silent"
    CUT = "cut"


@dataclass(kw_only=True)
class TcpRelay:
    """Relays connections from a loopback port to another.

    :param port: port to listen on.
    :param target_port: port to connect to.
    :param delay_s: time by which all bytes are held up, in seconds.
    """

    port: int
    target_port: int
    delay_s: float = 0.0
    state: PathState = PathState.FORWARD
    accepted: int = 0
    _silenced: set[int] = field(default_factory=set)
    _writers: dict[int, list[asyncio.StreamWriter]] = field(default_factory=dict)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        self.cut_open_connections()

    def silence_open_connections(self) -> None:
        """Swallow all bytes of the open connections, while new ones work."""
        self._silenced.update(self._writers)

    def cut_open_connections(self) -> None:
        """Close the open connections."""
        for writers in self._writers.values():
            for writer in writers:
                writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.state is PathState.CUT:
            writer.close()
            return
        number = self.accepted
        self.accepted += 1
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.close()
            return
        self._writers[number] = [writer, far_writer]
        try:
            await asyncio.gather(
                self._copy(number, reader, far_writer, to_target=True),
                self._copy(number, far_reader, writer, to_target=False),
            )
        finally:
            del self._writers[number]

    async def _copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_target: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if number in self._silenced or self._swallows(to_target=to_target):
                    continue
                writer.write(data)
                await writer.drain()
        if number not in self._silenced:
            writer.close()

    def _swallows(self, *, to_target: bool) -> bool:
        """Return whether bytes of a direction are lost now."""
        if self.state is PathState.ONE_WAY:
            return not to_target
        return self.state is PathState.SILENT
