"""Decodes the chunked transfer coding in slices of bounded work."""

import re

MAX_SLICE_CHUNKS = 2_000
"""Chunks that are decoded at once; takes about two milliseconds."""
BASE_FRAMING_BYTES = 65_536
"""Framing that any body may have, in bytes."""
FRAMING_PER_BODY_BYTE = 32
"""Framing beyond it that a body may have for each of its bytes, in bytes. A chunk of
one byte has five, and extensions of chunks are rare."""
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?[ \t]*")
_BLANK_LINE = re.compile(rb"\n\r?\n")
_LINE_END = b"\r\n"


class MalformedChunksError(Exception):
    """The data is not in the chunked coding, or has too much framing."""


class ChunkDecoder:
    """Decodes one body.

    :param max_line_bytes: limit on the size of a chunk's first line and of the
        trailers, in bytes.
    :param body: what was decoded so far.
    :param is_complete: whether the body has ended; the buffer then holds what follows.
    :param chunk_count: chunks so far.
    """

    def __init__(self, *, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._buffer = bytearray()
        self._left_bytes = 0
        self._in_trailers = False
        self._awaits_line_end = False
        self._framing_bytes = 0
        self.body = bytearray()
        self.is_complete = False
        self.chunk_count = 0

    @property
    def buffered_bytes(self) -> int:
        """Data that is yet to be decoded, in bytes."""
        return len(self._buffer)

    def feed(self, data: bytes | bytearray) -> None:
        """Add received data."""
        self._buffer += data

    def take_rest(self) -> bytes:
        """Return what follows the complete body."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def decode_slice(self) -> bool:
        """Decode some chunks.

        :returns: whether more may be decoded without more data.
        :raises MalformedChunksError: the data is malformed.
        """
        position = 0
        body_bytes = len(self.body)
        buffer = self._buffer
        chunks_left = MAX_SLICE_CHUNKS
        needs_data = False
        while chunks_left and not (needs_data or self._in_trailers):
            if self._left_bytes:
                taken = buffer[position : position + self._left_bytes]
                self.body += taken
                position += len(taken)
                self._left_bytes -= len(taken)
                needs_data = self._left_bytes > 0
                self._awaits_line_end = not needs_data
            elif self._awaits_line_end:
                end = buffer[position : position + 2]
                if not _LINE_END.startswith(end):
                    raise MalformedChunksError("a chunk is longer than its size")
                needs_data = len(end) < len(_LINE_END)
                if not needs_data:
                    position += 2
                    self._awaits_line_end = False
            else:
                end_at = buffer.find(_LINE_END, position)
                line_end = end_at if end_at >= 0 else len(buffer)
                if line_end - position > self._max_line_bytes:
                    raise MalformedChunksError("the first line of a chunk is too long")
                needs_data = end_at < 0
                if not needs_data:
                    self._begin_chunk(buffer[position:end_at])
                    position = end_at + 2
                    chunks_left -= 1
        del buffer[:position]
        self._framing_bytes += position - (len(self.body) - body_bytes)
        if self._framing_bytes > BASE_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * len(
            self.body
        ):
            raise MalformedChunksError("the body has too much framing")
        if self._in_trailers:
            self._skip_trailers()
            return False
        return not needs_data

    def _begin_chunk(self, line: bytearray) -> None:
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise MalformedChunksError("a chunk begins without its size")
        self._left_bytes = int(match[1], 16)
        self._in_trailers = self._left_bytes == 0
        self.chunk_count += 1

    def _skip_trailers(self) -> None:
        if self._buffer.startswith(_LINE_END):
            end = 2
        elif (found := _BLANK_LINE.search(self._buffer)) is not None:
            end = found.end()
        elif len(self._buffer) > self._max_line_bytes:
            raise MalformedChunksError("the trailers are too long")
        else:
            return
        del self._buffer[:end]
        self.is_complete = True
