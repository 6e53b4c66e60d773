"""Judge of streamed answers, shared by tests with fakes and with processes."""

import msgspec

from lacewinglug.requests.answers import AnswerEnd, AnswerHeartbeat, AnswerToken
from lacewinglug.requests.outcomes import FailureBody
from lacewinglug.standin.engine import expected_token

_decoder = msgspec.json.Decoder(AnswerToken | AnswerHeartbeat | AnswerEnd)


def judge_answer(prompt, max_tokens, lines):
    """Return how an answer ended and what is wrong with it.

    :param lines: lines as the caller received them.
    :returns: ``answered`` or the outcome of a failure, and a list of problems.
    """
    problems = []
    next_index = 0
    outcome = ""
    for line in lines:
        if outcome:
            problems.append(f"a line after the end: {line!r}")
        try:
            part = _decoder.decode(line)
        except msgspec.ValidationError:
            outcome = msgspec.json.decode(line, type=FailureBody).outcome
            continue
        match part:
            case AnswerToken(index=index, text=text):
                if index != next_index or text != expected_token(prompt, next_index):
                    problems.append(f"token {next_index} is {index}: {text!r}")
                next_index += 1
            case AnswerEnd(tokens=tokens):
                outcome = "answered"
                if not tokens == next_index == max_tokens:
                    problems.append(f"ended at {tokens} after {next_index} tokens")
    if not outcome:
        problems.append("neither an end nor a failure")
    return outcome, problems
