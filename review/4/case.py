"""One runner spoils one stream of fifty: part of it, with 206 and without signature."""

import asyncio
import sys
from pathlib import Path

from lacewinglug.wire.messages import Response, first_header
from review.stage import Runner, make_configuration, prompt_headers, run_case

FIRST_SPOILED = 50
PLAY_S = 30.0
INTERVAL_S = 0.08
DEADLINE_MS = 6000
SIGNATURE = "x-lacewinglug-response-signature"


class SpoilingRunner(Runner):
    """A runner that spoils its answer number 50, 100 and so on.

    :param spoils: whether it spoils answers.
    """

    spoils = False
    answer_count = 0

    async def stream(self, request, exchange):
        """Send a stream, or one event of it with a wrong head."""
        self.answer_count += 1
        if not self.spoils or self.answer_count % FIRST_SPOILED:
            await super().stream(request, exchange)
            return
        self.record.add(
            "spoils an answer", runner=self.instance, answers=self.answer_count
        )
        found = first_header(request.headers, b"x-lacewinglug-request-id") or b""
        await exchange.respond(
            Response(
                status=206,
                headers=((b"X-Lacewinglug-Request-Id", found),),
                body=b"id: 1\ndata: w1\n\n",
            )
        )


async def case(stage, record, trouble):
    """Play the case; return whether the rule held."""
    for number in range(3):
        await stage.add_runner(f"i-app{number}", "locker-app")
    for number in range(2):
        await stage.add_runner(f"i-pre{number}", "ampwise-llm", stage="prefill")
    spoiling = await stage.add_runner(
        "i-dec0", "ampwise-llm", stage="decode", runner_type=SpoilingRunner
    )
    spoiling.spoils = trouble
    for number in range(1, 4):
        await stage.add_runner(f"i-dec{number}", "ampwise-llm", stage="decode")
    await stage.publish(make_configuration())
    await stage.start_hosts()
    tasks, number = [], 0
    end_s = record.now_s() + PLAY_S
    while record.now_s() < end_s:
        number += 1
        sending = stage.request(
            stage.hosts[number % len(stage.hosts)],
            "kiosk-ask",
            deadline_ms=DEADLINE_MS,
            headers=prompt_headers(number),
        )
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    unsigned = [
        item
        for item in answers
        if item.status is not None
        and 200 <= item.status < 300
        and SIGNATURE not in item.headers
    ]
    for item in unsigned:
        record.add(
            "success without a signature",
            sent_s=f"{item.sent_s:.3f}",
            status=item.status,
            whole=item.whole,
            body=item.body,
        )
    record.add(
        "answers",
        sent=len(answers),
        success_without_signature=len(unsigned),
        streams_at_the_spoiling_runner=spoiling.answer_count,
    )
    return not unsigned


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
