"""Plans a seeded load: what is sent when, and what is sent twice."""

import random
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from lacewinglug.errors import Problem, UserError

MAX_REQUESTS = 200_000


class _Document(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class KindPlan(_Document):
    """A kind of request in the load.

    :param service: name of the service.
    :param kind: name of the kind of request.
    :param share: share of the arrivals, relative to other kinds.
    :param prompt_tokens: length of the prompt; 0 sends a call to a plain service.
    :param output_tokens: tokens to generate.
    :param long_ratio: share of requests that are longer.
    :param long_factor: how many times longer those are.
    :param repeat_ratio: share of calls sent a second time under the same key.
    """

    service: str
    kind: str
    share: Annotated[float, Field(ge=0)] = 1.0
    prompt_tokens: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    output_tokens: Annotated[int, Field(ge=0, le=100_000)] = 0
    long_ratio: Annotated[float, Field(ge=0, le=1)] = 0.0
    long_factor: Annotated[float, Field(ge=1)] = 1.0
    repeat_ratio: Annotated[float, Field(ge=0, le=1)] = 0.0


class Crest(_Document):
    """A time of higher demand.

    :param at_s: start, in seconds from the start of the load.
    :param duration_s: length, in seconds.
    :param factor: how many times the usual rate.
    """

    at_s: Annotated[float, Field(ge=0)]
    duration_s: Annotated[float, Field(gt=0)]
    factor: Annotated[float, Field(gt=0, le=1000)]


class MixShift(_Document):
    """A change of the shares of the kinds.

    :param at_s: start, in seconds from the start of the load.
    :param shares: new share by kind name.
    """

    at_s: Annotated[float, Field(ge=0)]
    shares: dict[str, Annotated[float, Field(ge=0)]]


class LoadPlan(_Document):
    """A whole load.

    :param duration_s: length, in seconds.
    :param rate_per_s: usual arrivals a second.
    :param organisation: organisation of the caller.
    :param region: region of the caller.
    :param kinds: kinds of request.
    :param crests: times of higher demand.
    :param shifts: changes of the shares, in order of time.
    """

    duration_s: Annotated[float, Field(gt=0, le=3600)]
    rate_per_s: Annotated[float, Field(gt=0, le=10_000)]
    organisation: str = ""
    region: str = ""
    kinds: Annotated[tuple[KindPlan, ...], Field(min_length=1)]
    crests: tuple[Crest, ...] = ()
    shifts: tuple[MixShift, ...] = ()

    @model_validator(mode="after")
    def _check_shares(self) -> Self:
        """Refuse shares of kinds that the plan does not have."""
        known = {item.kind for item in self.kinds}
        for shift in self.shifts:
            unknown = sorted(set(shift.shares) - known)
            if unknown:
                raise ValueError(f"shifts name kinds that are not in kinds: {unknown}")
        return self


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request of a load.

    :param at_s: time from the start of the load, in seconds.
    :param number: position among the arrivals.
    :param service: name of the service.
    :param kind: name of the kind of request.
    :param prompt_tokens: length of the prompt; 0 is a call to a plain service.
    :param output_tokens: tokens to generate.
    :param repeats: times that it is sent again under the same key.
    """

    at_s: float
    number: int
    service: str
    kind: str
    prompt_tokens: int
    output_tokens: int
    repeats: int


def read_plan(path: Path) -> LoadPlan:
    """Read and check a load plan.

    :raises UserError: the file cannot be read or a value is wrong.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise UserError(f"cannot read load plan {path}: {error}") from None
    try:
        return LoadPlan.model_validate(document)
    except ValidationError as error:
        problems = [
            Problem(
                file=str(path),
                object_name="load",
                field=".".join(str(part) for part in item["loc"]),
                message=item["msg"],
                remedy="correct the value; see lacewinglug load --help",
            )
            for item in error.errors()
        ]
        raise UserError("\n".join(str(problem) for problem in problems)) from None


def plan_arrivals(plan: LoadPlan, *, seed: int) -> Iterator[Arrival]:
    """Yield the arrivals of a load, the same for the same seed."""
    rng = random.Random(seed)
    peak_rate = plan.rate_per_s * max([1.0, *(item.factor for item in plan.crests)])
    at_s = 0.0
    number = 0
    while number < MAX_REQUESTS:
        at_s += rng.expovariate(peak_rate)
        if at_s >= plan.duration_s:
            return
        if rng.random() * peak_rate > _rate_at(plan, at_s):
            continue
        yield _draw(plan, rng, at_s, number)
        number += 1


def _rate_at(plan: LoadPlan, at_s: float) -> float:
    """Return the arrivals a second at a time."""
    factors = [
        item.factor
        for item in plan.crests
        if item.at_s <= at_s < item.at_s + item.duration_s
    ]
    return plan.rate_per_s * (max(factors) if factors else 1.0)


def _draw(plan: LoadPlan, rng: random.Random, at_s: float, number: int) -> Arrival:
    """Draw the kind and size of one arrival."""
    shares = {item.kind: item.share for item in plan.kinds}
    for shift in plan.shifts:
        if shift.at_s <= at_s:
            shares.update(shift.shares)
    weights = [shares[item.kind] for item in plan.kinds]
    kind = rng.choices(plan.kinds, weights=weights)[0]
    factor = kind.long_factor if rng.random() < kind.long_ratio else 1.0
    return Arrival(
        at_s=at_s,
        number=number,
        service=kind.service,
        kind=kind.kind,
        prompt_tokens=int(kind.prompt_tokens * factor),
        output_tokens=int(kind.output_tokens * factor),
        repeats=int(rng.random() < kind.repeat_ratio),
    )
