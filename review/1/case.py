"""A record of another writer among the runners' entries, then a kill of all hosts."""

import asyncio
import json
import signal
import sys
from pathlib import Path

from review.stage import make_configuration, prompt_headers, run_case

RECOVER_S = 12.0
DOWN_S = 0.93
WATCH_S = 6.0
REQUEST_INTERVAL_S = 0.1
LEVELS = 1100


def foreign_record():
    """Return a record without a runner's fields, with one deeply nested field."""
    tree = '{"part":' * LEVELS + "1" + "}" * LEVELS
    return json.dumps({"Owner": "inventory"})[:-1].encode() + (
        b', "Tree": ' + tree.encode() + b"}"
    )


async def send_requests(stage, answers, until):
    """Send a call or a prompt at each interval until an event is set."""
    number = 0
    pending = set()
    while not until.is_set():
        number += 1
        host = stage.hosts[number % len(stage.hosts)]
        if number % 2:
            sending = stage.request(host, "unlock-bill", deadline_ms=2000)
        else:
            sending = stage.request(
                host, "kiosk-ask", deadline_ms=6000, headers=prompt_headers(number)
            )
        task = asyncio.create_task(sending)
        pending.add(task)
        task.add_done_callback(lambda done: answers.append(done.result()))
        task.add_done_callback(pending.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*pending)


def share_served(answers, start_s, end_s):
    """Return the share of the requests sent in a time that was served, and how many."""
    sent = [item for item in answers if start_s <= item.sent_s < end_s]
    served = [item for item in sent if item.status == 200 and item.whole]
    return len(served) / max(1, len(sent)), len(sent)


async def case(stage, record, trouble):
    """Play the case; return whether the rule held."""
    for number in range(3):
        await stage.add_runner(f"i-app{number}", "locker-app")
    for number in range(2):
        await stage.add_runner(f"i-pre{number}", "ampwise-llm", stage="prefill")
    for number in range(4):
        await stage.add_runner(f"i-dec{number}", "ampwise-llm", stage="decode")
    await stage.publish(make_configuration())
    await stage.start_hosts()
    answers, stop = [], asyncio.Event()
    clients = asyncio.create_task(send_requests(stage, answers, stop))
    await asyncio.sleep(2.0)
    if trouble:
        await stage.write_foreign_entry("inventory-7", foreign_record())
        record.add("another writer's entry", bytes=len(foreign_record()))
    await asyncio.sleep(4.0)
    await stage.publish(make_configuration(version=2))
    record.add("a configuration is acknowledged, then all hosts are killed")
    killed_s = record.now_s()
    for host in stage.hosts:
        host.send(signal.SIGKILL)
    for host in stage.hosts:
        await host.ended()
    await asyncio.sleep(DOWN_S)
    for host in stage.hosts:
        host.start()
    back_s = record.now_s()
    record.add("all hosts are started again")
    await asyncio.sleep(RECOVER_S + WATCH_S)
    for host in stage.hosts:
        record.add(
            "host",
            name=host.name,
            ready=await stage.is_ready(host),
            recursion_errors=host.count_in_log("RecursionError"),
        )
    stop.set()
    await clients
    before, count_before = share_served(answers, killed_s - 4.0, killed_s - 0.5)
    late_s = back_s + RECOVER_S
    after, count_after = share_served(answers, late_s, late_s + WATCH_S)
    record.add("before the kill", share=f"{before:.2f}", requests=count_before)
    record.add("after RecoverS", share=f"{after:.2f}", requests=count_after)
    return not (before >= 0.25 and after < 0.25)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
