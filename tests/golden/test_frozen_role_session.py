"""The operators' page on frozen roles, run as written: a holder's steward hangs."""

import signal

import msgspec

from lacewinglug.entry.app import StatusReply
from tests.golden.session import SessionTranscript
from tests.steward.test_order_processes import (
    DOMAINS,
    FENCED,
    HOSTS,
    UNFENCED,
    deployment,
)

__all__ = ["deployment"]
ENGINE_DOMAIN = DOMAINS[1]


class StatusSession:
    """Asks the entry host that is well, and calls hosts by their part."""

    def __init__(self, deployment, holder):
        self.deployment = deployment
        self.transcript = SessionTranscript()
        self.holder = holder
        [self.other] = [host for host in HOSTS if host != holder]

    def run(self, *arguments):
        url = self.deployment.entry_url(self.other)
        return self.deployment.run_command(*arguments, "--entry", url).stdout

    def wait_roles(self, **roles):
        """Wait until the status shows engines in their roles."""

        def are_shown():
            reply = msgspec.json.decode(self.run("status", "--json"), type=StatusReply)
            shown = {item.runner: item.report for item in reply.runners}
            return all(
                (shown[name].role, shown[name].state) == (role, "ready")
                for name, role in roles.items()
            )

        self.deployment.wait(are_shown)

    def note_engines(self, step):
        """Note what the status says of engines and of who may order them."""
        lines = [
            line
            for line in self.run("status").splitlines()
            if FENCED in line or UNFENCED in line
        ]
        text = "\n".join(lines).replace(self.holder, "HOLDER")
        self.transcript.note(step, text.replace(self.other, "OTHER"))


def test_a_restarted_steward_goes_on_with_its_runner(deployment, snapshot):
    deployment.prepare()
    session = StatusSession(deployment, deployment.holders()[ENGINE_DOMAIN])
    steward = f"{session.holder}.steward"
    deployment.send_signal(steward, signal.SIGSTOP)
    deployment.wait(lambda: deployment.holders()[DOMAINS[0]] == session.other)
    deployment.publish_role("mixed", "decode")
    session.wait_roles(**{FENCED: "decode", UNFENCED: "mixed"})
    session.note_engines("lacewinglug status: the steward of HOLDER hangs")
    deployment.processes.pop(steward).kill()
    deployment.start_steward(session.holder)
    session.wait_roles(**{FENCED: "decode", UNFENCED: "decode"})
    session.note_engines("lacewinglug status: it was restarted")
    deployment.assert_no_violation()
    assert str(session.transcript) == snapshot
