"""A calm session of a host on the users' platform, as a real process."""

import asyncio
import json
import os
import re
import signal
import sys

from tests.golden.session import SessionTranscript
from tests.platform.scene import HostTestbed
from tests.platform.standin import FakeRunner

PATIENCE_S = 60.0
NORMAL_FORMS = (
    (re.compile(r"127\.\d+\.\d+\.\d+:\d+"), "ADDRESS"),
    (re.compile(r"0\.\d{2}\b"), "0.NN"),
)
LOGGED = ("host started", "configuration applied", "settings reloaded", "host leaves")


def show(answer):
    """Return an answer without addresses."""
    lines = [f"{answer.status} {'whole' if answer.complete else 'cut'}"]
    lines += [
        f"{key}: {value}"
        for key, value in sorted(answer.headers.items())
        if key not in ("content-length", "x-lacewinglug-request-id")
    ]
    text = "\n".join([*lines, answer.body.decode()])
    for pattern, replacement in NORMAL_FORMS:
        text = pattern.sub(replacement, text)
    return text


async def start(path):
    """Start the program as the deploy file does."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "lacewinglug", "host", "--metrics-port", "19464"),
        env={**os.environ, "LACEWINGLUG_NODE_FILE": str(path)},
        stdout=asyncio.subprocess.PIPE,
    )


async def test_a_calm_session(tmp_path, snapshot):
    transcript = SessionTranscript()
    runners = [
        FakeRunner("app-1", "app"),
        FakeRunner("reader-1", "llm", stage="prefill"),
        FakeRunner("runner-1", "llm", stage="decode"),
    ]
    async with asyncio.timeout(PATIENCE_S):
        scene = await HostTestbed().open(*runners)
        path = tmp_path / "local.json"
        path.write_text(json.dumps(scene.settings))
        process = await start(path)
        try:
            await scene.wait_until_ready()
            await play(scene, runners, transcript)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            process.terminate()
            output, _ = await process.communicate()
            transcript.note("SIGTERM", f"exit {process.returncode}")
        finally:
            if process.returncode is None:
                process.kill()
            scene.close()
    lines = [json.loads(line) for line in output.splitlines()]
    told = [line["message"] for line in lines if line["message"] in LOGGED]
    transcript.note("log", "\n".join(told))
    ended = [line for line in lines if line["message"] == "request ended"]
    transcript.note(
        "requests in the log",
        "\n".join(f"{line['outcome']} {line['status']}" for line in ended),
    )
    assert str(transcript) == snapshot


async def play(scene, runners, transcript):
    """Send the requests of the session."""
    query = "/-/resolve?Name=a.example&Region=mtl&Zone=mtl-a"
    resolved = await scene.send_request_to(
        scene.listen_address("Directory"), query, "GET"
    )
    transcript.note("resolve", show(resolved))
    transcript.note("unlock", show(await scene.send_request("/unlock/7")))
    status = await scene.send_request("/status/", method="GET", body=b"")
    transcript.note("status", show(status))
    transcript.note("prompt", show(await scene.send_request("/ask/1")))
    transcript.note("unknown path", show(await scene.send_request("/none/")))
    runners[0].mode = "reject"
    transcript.note("unlock, full runner", show(await scene.send_request("/unlock/7")))
    runners[0].mode = "cut"
    transcript.note("unlock, cut answer", show(await scene.send_request("/unlock/7")))
    runners[0].mode = "serve"
