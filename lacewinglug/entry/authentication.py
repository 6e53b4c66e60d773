"""Authenticates organisations, operators and other entries."""

import hmac
from dataclasses import dataclass

from lacewinglug.entry.view import EntryView
from lacewinglug.organisations.keys import matches_digest, parse_authorization
from lacewinglug.requests.outcomes import NotRun

AUTHORIZATION_HEADER = "Authorization"
_SCHEME = "bearer"


@dataclass(kw_only=True)
class Authenticator:
    """Checks the keys in the requests of callers, operators and entries.

    :param view: configuration of the fleet.
    :param admin_key: key of operators and entries, empty to accept any.
    """

    view: EntryView
    admin_key: str

    def check_organisation(
        self, organisation: str, authorization: str
    ) -> NotRun | None:
        """Return the refusal of an unauthenticated caller, or None.

        A configuration without organisations accepts any caller.
        """
        organisations = self.view.fleet.organisations
        if not organisations:
            return None
        declared = organisations.get(organisation)
        if declared is None:
            return _refuse(
                f"organisation {organisation!r} is not declared",
                "name a declared organisation in the X-Caller header",
                status=403,
            )
        if not declared.key_sha256:
            return None
        if matches_digest(_token(authorization), declared.key_sha256):
            return None
        return _refuse(
            f"the key of organisation {organisation!r} is missing or wrong",
            "send the header Authorization: Bearer KEY",
            status=401,
        )

    def check_admin(self, authorization: str) -> NotRun | None:
        """Return the refusal of a request without the admin key, or None."""
        if not self.admin_key:
            return None
        presented_key = _token(authorization).encode()
        if hmac.compare_digest(presented_key, self.admin_key.encode()):
            return None
        return _refuse(
            "the admin key is missing or wrong",
            "send the header Authorization: Bearer KEY with the key of the "
            "settings' section admin",
            status=401,
        )


def _token(authorization: str) -> str:
    """Return the bearer token of an ``Authorization`` header, empty for none."""
    return parse_authorization(authorization, scheme=_SCHEME)


def _refuse(reason: str, remedy: str, *, status: int) -> NotRun:
    return NotRun(reason=reason, remedy=remedy, retry_after_s=0.0, status=status)
