"""Checks that the lines of engines add up to one whole answer."""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewinglug.metrics import Metrics
from lacewinglug.requests.answers import AnswerEnd, AnswerLine, AnswerToken
from lacewinglug.upstream.messages import EndLine, StreamLine, TokenLine


class BrokenSequenceError(Exception):
    """A stream cannot be continued on its connection.

    :param message: what is missing.
    :param lines: lines of the answer that came before the break.
    """

    def __init__(self, message: str, *, lines: list[AnswerLine]) -> None:
        super().__init__(message)
        self.lines = lines


@dataclass(kw_only=True)
class AnswerSequence:
    """The place reached in one answer, kept over all engines that work on it.

    :param request_id: id that each line must carry.
    :param max_tokens: tokens wanted by the caller.
    :param metrics: counters of dropped lines.
    :param next_index: index of the next token.
    """

    request_id: str
    max_tokens: int
    metrics: Metrics
    next_index: int = 0
    ended: bool = False

    def accept(self, lines: Iterable[StreamLine]) -> list[AnswerLine]:
        """Return the lines that continue the answer, dropping the others.

        :raises BrokenSequenceError: a token is missing, or the end comes too
            early or too late.
        """
        accepted: list[AnswerLine] = []
        for line in lines:
            if line.request_id != self.request_id:
                self.metrics.count("prompts.crossed_lines")
                continue
            match line:
                case TokenLine(index=index, text=text) if index == self.next_index:
                    if index >= self.max_tokens:
                        self._break("too_long", "has no end", accepted)
                    self.next_index += 1
                    accepted.append(AnswerToken(index=index, text=text))
                case TokenLine(index=index) if index < self.next_index:
                    self.metrics.count("prompts.late_lines")
                case EndLine(tokens=tokens) if tokens == self.next_index:
                    self.ended = True
                    accepted.append(AnswerEnd(tokens=tokens))
                    return accepted
                case TokenLine():
                    self._break("gaps", "skipped a token", accepted)
                case EndLine():
                    self._break("wrong_ends", "ended at another token", accepted)
        return accepted

    def _break(self, counter: str, reason: str, accepted: list[AnswerLine]) -> None:
        self.metrics.count(f"prompts.{counter}")
        raise BrokenSequenceError(f"the engine's answer {reason}", lines=accepted)
