"""One runner spoils one answer of fifty: small pieces of bytes without end."""

import asyncio
import sys
from pathlib import Path

from review.stage import Runner, make_configuration, prompt_headers, run_case

SPOILED_SHARE = 0.02
FIRST_SPOILED = 50
PLAY_S = 45.0
INTERVAL_S = 0.04
TIMEOUT_MS = 1000
"""``TimeoutMs`` of the unsafe route."""
DEADLINE_MS = 2000
LATE_S = 0.5
MIN_LATE = 8
PIECE = b"token"
BLOCK = (b"%x\r\n%s\r\n" % (len(PIECE), PIECE)) * 5000


class SpoilingRunner(Runner):
    """A runner whose answer number 50, 100 and so on never ends.

    :param spoils: whether it spoils answers.
    """

    spoils = False
    answer_count = 0
    spoiled_count = 0

    async def stream(self, request, exchange):
        """Send a stream, or a beginning of one and then pieces without end."""
        self.answer_count += 1
        if not self.spoils or self.answer_count % FIRST_SPOILED:
            await super().stream(request, exchange)
            return
        self.spoiled_count += 1
        self.record.add(
            "spoils an answer", runner=self.instance, answers=self.answer_count
        )
        await exchange.start_response(200, self.response_headers(request))
        await exchange.write(b"id: 1\ndata: w1\n\n")
        # Each piece is a chunk of its own, as a stream of tokens is sent.
        transport = exchange._transport
        try:
            while True:
                if transport.get_write_buffer_size() < len(BLOCK):
                    transport.write(BLOCK)
                await asyncio.sleep(0.002)
        finally:
            self.record.add("host closes the spoiled answer", runner=self.instance)


async def watch_readiness(stage, record):
    """Note each time for which a host does not answer its readiness check."""
    silent_since_s = {}
    while True:
        for host in stage.hosts:
            asked_s = record.now_s()
            if await stage.is_ready(host, timeout_s=0.5):
                since_s = silent_since_s.pop(host.name, None)
                if since_s is not None:
                    record.add(
                        "answers its readiness check again",
                        host=host.name,
                        silent_s=f"{record.now_s() - since_s:.1f}",
                    )
            elif host.name not in silent_since_s:
                silent_since_s[host.name] = asked_s
                record.add("does not answer its readiness check", host=host.name)
        await asyncio.sleep(0.2)


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
    watch = asyncio.create_task(watch_readiness(stage, record))
    answers, pending, number = [], set(), 0
    end_s = record.now_s() + PLAY_S
    while record.now_s() < end_s:
        number += 1
        host = stage.hosts[number % len(stage.hosts)]
        if number % 2:
            task = asyncio.create_task(
                stage.request(
                    host, "kiosk-ask", deadline_ms=6000, headers=prompt_headers(number)
                )
            )
        else:
            # Clients give up safe calls that are not read, and wait for unsafe ones.
            task = asyncio.create_task(
                stage.request(host, "unlock-bill", deadline_ms=DEADLINE_MS)
            )
            task.add_done_callback(lambda done: answers.append(done.result()))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*pending)
    watch.cancel()
    timeout_s = TIMEOUT_MS / 1000
    due = [item for item in answers if item.ended_s - item.sent_s > timeout_s]
    late = [item for item in due if item.ended_s - item.sent_s > timeout_s + LATE_S]
    record.add(
        "unsafe requests",
        sent=len(answers),
        unanswered_at_timeout=len(due),
        unanswered_half_a_second_later=len(late),
    )
    record.add(
        "answers of the spoiling runner",
        streams=spoiling.answer_count,
        spoiled=spoiling.spoiled_count,
    )
    return not (len(late) >= MIN_LATE and len(late) > len(due) / 2)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
