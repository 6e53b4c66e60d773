"""Finds the organisation that holds an API key, and decides who may send a request."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewinglug.organisations.keys import hash_key, matches_digest


class OrganisationError(Exception):
    """Organisations contradict each other; the message names them and the remedy."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisation:
    """An organisation that sends requests.

    :param name: unique name, sent to the runners.
    :param key_digests: SHA-256 digests of its API keys, in hex.
    :param priority: priority of its requests, 0 is the highest; None for the priority
        of the route.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Identified:
    """The request may be run for an organisation."""

    organisation: Organisation


@dataclass(frozen=True, kw_only=True, slots=True)
class Anonymous:
    """The request may be run for no organisation in particular."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Unidentified:
    """The request has no key of an organisation and needs one."""


Identification = Identified | Anonymous | Unidentified


@dataclass(frozen=True, kw_only=True)
class OrganisationDirectory:
    """The organisations of one version of the configuration.

    Without any, requests need no key.

    :param organisations: the organisations by name.
    """

    organisations: dict[str, Organisation] = field(default_factory=dict)
    _names_by_digest: dict[str, str] = field(default_factory=dict, repr=False)

    @classmethod
    def build(cls, organisations: Iterable[Organisation]) -> "OrganisationDirectory":
        """Return a directory of organisations.

        :raises OrganisationError: two have the same name or key, or a name is empty.
        """
        by_name: dict[str, Organisation] = {}
        by_digest: dict[str, str] = {}
        for item in organisations:
            _check(item)
            if item.name in by_name:
                raise OrganisationError(
                    f"organisation {item.name!r} is listed twice; remove one entry"
                )
            by_name[item.name] = item
            for digest in item.key_digests:
                holder = by_digest.setdefault(digest, item.name)
                if holder != item.name:
                    raise OrganisationError(
                        f"organisations {holder!r} and {item.name!r} hold the same "
                        "key; give one of them another key"
                    )
        return cls(organisations=by_name, _names_by_digest=by_digest)

    def find_by_key(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, None for an unknown one."""
        # The time of the look-up depends on the digest only, from which nothing can be
        # learned about a key.
        digest = hash_key(key)
        name = self._names_by_digest.get(digest)
        if name is None or not matches_digest(key, digest):
            return None
        return self.organisations[name]

    def identify(self, key: str, *, allow_anonymous: bool) -> Identification:
        """Decide for whom a request may be run.

        :param key: API key of the request, empty without one.
        :param allow_anonymous: whether its route needs no key.
        """
        if not self.organisations:
            return Anonymous()
        found = self.find_by_key(key) if key else None
        if found is not None:
            return Identified(organisation=found)
        return Anonymous() if allow_anonymous else Unidentified()


def _check(organisation: Organisation) -> None:
    name = organisation.name
    if not name or not name.isascii() or not name.isprintable() or name != name.strip():
        raise OrganisationError(
            f"{name!r} is not a name that a header can hold; use printable ASCII "
            "characters"
        )
    if hash_key("") in organisation.key_digests:
        raise OrganisationError(
            f"organisation {name!r} has an empty key; remove it or set one"
        )
