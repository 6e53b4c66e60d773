"""The properties of a request that routing uses."""

from dataclasses import dataclass, field

from lacewinglug.routing.prefix import BLOCK_TOKENS


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestProfile:
    """Properties of a request for admission and routing.

    :param request_id: id of the request.
    :param service: name of the service.
    :param kind: name of the request kind.
    :param organisation: organisation of the caller.
    :param weight: value of a response, relative to other request kinds.
    :param deadline_s: deadline of the response, in monotonic seconds.
    :param idempotent: whether the request may be sent more than once.
    :param prompt_tokens: prompt length, 0 for a plain service.
    :param output_tokens: maximum length of the response, in tokens.
    :param prefix_hashes: chained hashes of the prompt blocks.
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

    def uncached_tokens(self, cached_blocks: int) -> int:
        """Return the number of prompt tokens that miss the prefix cache, at least 1."""
        return max(1, self.prompt_tokens - cached_blocks * BLOCK_TOKENS)
