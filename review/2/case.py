"""A host is stopped as planned while a client still uses its address."""

import asyncio
import signal
import sys
from pathlib import Path

from review.stage import (
    GRACE_S,
    CaseError,
    make_configuration,
    prompt_headers,
    run_case,
)

REQUEST_INTERVAL_S = 0.2
CLIENT_ZONE = "mtl-a"
SENT_AFTER_S = 3.6
"""Time from SIGTERM to the request, in s; the client's list of addresses is still
valid then, as some clients keep it for three times its time to live."""
KEPT_FACTOR = 3
EVENTS = 15
EVENT_S = 0.28
"""Time between the events of a stream, in s; at most 0.4 s is a pause that is on time.
The stream takes 4.2 s of the 6 s that its route and its client allow."""
DEADLINE_MS = 6000


async def send_calls(stage, until):
    """Send calls and prompts to the other hosts until an event is set."""
    number = 0
    while not until.is_set():
        number += 1
        host = stage.hosts[1 + number % 2]
        await stage.request(host, "unlock-bill", deadline_ms=2000)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def case(stage, record, trouble):
    """Play the case; return whether the rule held."""
    for number in range(3):
        await stage.add_runner(f"i-app{number}", "locker-app")
    for number in range(2):
        await stage.add_runner(f"i-pre{number}", "ampwise-llm", stage="prefill")
    for number in range(4):
        await stage.add_runner(
            f"i-dec{number}",
            "ampwise-llm",
            stage="decode",
            event_count=EVENTS,
            event_s=EVENT_S,
        )
    await stage.publish(make_configuration())
    await stage.start_hosts()
    stop = asyncio.Event()
    clients = asyncio.create_task(send_calls(stage, stop))
    await asyncio.sleep(5.0)
    leaving = stage.hosts[0]
    addresses, ttl_s = await stage.resolve(leaving, CLIENT_ZONE)
    resolved_s = record.now_s()
    record.add("client resolves", addresses=",".join(addresses), ttl_s=ttl_s)
    if leaving.address("Frontend") not in addresses:
        raise CaseError("the directory does not list the host")
    terminated_s = record.now_s()
    if trouble:
        leaving.send(signal.SIGTERM)
        record.add("SIGTERM", host=leaving.name)
    await asyncio.sleep(SENT_AFTER_S)
    if record.now_s() - resolved_s > KEPT_FACTOR * ttl_s:
        raise CaseError("the client would have asked for addresses again")
    answer = await stage.request(
        leaving, "kiosk-ask", deadline_ms=DEADLINE_MS, headers=prompt_headers(1)
    )
    record.add(
        "prompt to the leaving host ended",
        after_sigterm_s=f"{answer.ended_s - terminated_s:.2f}",
        status=answer.status,
        whole=answer.whole,
        events=answer.body.count(b"\n\n"),
        of=EVENTS,
    )
    if trouble:
        await leaving.ended()
        record.add(
            "host has ended", after_sigterm_s=f"{record.now_s() - terminated_s:.2f}"
        )
    stop.set()
    await clients
    if answer.status is None and answer.ended_s - answer.sent_s < 0.1:
        record.add("the host did not take the request")
        return True
    passed_on = answer.status == 200
    in_time = answer.ended_s - terminated_s <= GRACE_S + 1.0
    return answer.whole or not (passed_on and in_time)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
