"""Validates the token sequence of an answer that several engines may produce."""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewinglug.metrics import Metrics
from lacewinglug.requests.answers import AnswerEnd, AnswerLine, AnswerToken
from lacewinglug.upstream.messages import EndLine, StreamLine, TokenLine


class BrokenSequenceError(Exception):
    """An engine sent a line that leaves the answer incomplete or too long.

    :param message: description of the violation.
    :param accepted_lines: valid lines of the same batch that precede the violation.
    """

    def __init__(self, message: str, *, accepted_lines: list[AnswerLine]) -> None:
        super().__init__(message)
        self.accepted_lines = accepted_lines


@dataclass(kw_only=True)
class AnswerSequence:
    """Position in one answer, kept across retries on other engines.

    :param request_id: id that every line of the answer must have.
    :param max_tokens: number of tokens that the caller requested.
    :param metrics: counters of dropped and invalid lines.
    :param next_index: index of the next expected token.
    :param ended: whether the last line of the answer was accepted.
    """

    request_id: str
    max_tokens: int
    metrics: Metrics
    next_index: int = 0
    ended: bool = False

    def accept(self, lines: Iterable[StreamLine]) -> list[AnswerLine]:
        """Return the lines that continue the answer.

        Lines of other requests and tokens received before are dropped.

        :raises BrokenSequenceError: a token is missing, the end line has a wrong
            token count, or there are more tokens than requested.
        """
        accepted: list[AnswerLine] = []
        for line in lines:
            if line.request_id != self.request_id:
                self.metrics.count("prompts.crossed_lines")
                continue
            match line:
                case TokenLine(index=index, text=text) if index == self.next_index:
                    if index >= self.max_tokens:
                        self._raise_broken(
                            "too_long",
                            "exceeds the requested number of tokens",
                            accepted,
                        )
                    self.next_index += 1
                    accepted.append(AnswerToken(index=index, text=text))
                case TokenLine(index=index) if index < self.next_index:
                    self.metrics.count("prompts.late_lines")
                case EndLine(tokens=tokens) if tokens == self.next_index:
                    self.ended = True
                    accepted.append(AnswerEnd(tokens=tokens))
                    return accepted
                case TokenLine():
                    self._raise_broken("gaps", "skipped a token", accepted)
                case EndLine():
                    self._raise_broken(
                        "wrong_ends",
                        "has an end line with a wrong token count",
                        accepted,
                    )
        return accepted

    def _raise_broken(
        self, counter: str, reason: str, accepted: list[AnswerLine]
    ) -> None:
        self.metrics.count(f"prompts.{counter}")
        raise BrokenSequenceError(
            f"the engine's answer {reason}", accepted_lines=accepted
        )
