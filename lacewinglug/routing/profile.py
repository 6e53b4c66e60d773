"""What the routing knows of a request."""

from dataclasses import dataclass, field

from lacewinglug.routing.prefix import PIECE_TOKENS


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestProfile:
    """A request as admission and routing see it.

    :param request_id: id of the request.
    :param service: name of the service.
    :param kind: name of the kind of request.
    :param organisation: organisation of the caller.
    :param weight: value of an answer, relative to other kinds.
    :param deadline_s: monotonic time to be answered by, in seconds.
    :param idempotent: whether the request may be sent more than once.
    :param prompt_tokens: length of the prompt, 0 at a plain service.
    :param output_tokens: largest length of the answer.
    :param prefix_hashes: chained hashes of the prompt's pieces.
    """

    request_id: str
    service: str
    kind: str
    organisation: str
    weight: float
    deadline_s: float
    idempotent: bool
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = field(default=())

    def missing_tokens(self, cached_pieces: int) -> int:
        """Return the prompt tokens to compute beside cached leading pieces."""
        return max(1, self.prompt_tokens - cached_pieces * PIECE_TOKENS)
