"""Rollout plans, which list the hosts that receive the chunks of a manifest."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cassiahitch.codes import Code
from cassiahitch.errors import CassiahitchError
from cassiahitch.resources.models import Digest, Objective

MAX_PLAN_BYTES = 16_777_216
MAX_PARTICIPANTS = 20_000
MAX_NAME_LENGTH = 255


@dataclass(frozen=True, slots=True, order=True)
class Participant:
    """A host that receives the chunks of a rollout."""

    host: str
    region: str
    failure_domain: str


class _ParticipantModel(BaseModel):
    """JSON schema of a participant."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    host: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    region: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    failure_domain: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)


class _PlanModel(BaseModel):
    """JSON schema of a plan."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    rollout: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    manifest: Digest
    objective: Objective
    participants: list[_ParticipantModel] = Field(min_length=1, max_length=MAX_PARTICIPANTS)
    first_region: str = Field(default='', max_length=MAX_NAME_LENGTH)


@dataclass(frozen=True)
class RolloutPlan:
    """Participants of a rollout, sorted, and the objective that determines its trees.

    ``first_region`` is the region of the origin; its hosts are the roots of all trees.
    """

    rollout: str
    manifest: str
    objective: Objective
    participants: tuple[Participant, ...]
    first_region: str = ''

    @cached_property
    def digest(self) -> str:
        """SHA-256 digest of the JSON form, the key under which the plan is stored."""
        return hashlib.sha256(self.to_json()).hexdigest()

    def to_json(self) -> bytes:
        """Return the canonical JSON form.

        :return: UTF-8 JSON with sorted keys and no spaces.
        """
        optional = {'first_region': self.first_region} if self.first_region else {}
        fields = {
            **optional,
            'rollout': self.rollout,
            'manifest': self.manifest,
            'objective': self.objective.value,
            'participants': [
                {
                    'host': participant.host,
                    'region': participant.region,
                    'failure_domain': participant.failure_domain,
                }
                for participant in self.participants
            ],
        }
        return json.dumps(fields, sort_keys=True, separators=(',', ':')).encode()


def build_plan(
    rollout: str,
    manifest: str,
    objective: Objective,
    participants: tuple[Participant, ...],
    first_region: str = '',
) -> RolloutPlan:
    """Build a plan.

    :param rollout: identifier of the rollout.
    :param manifest: digest of the manifest.
    :param objective: resource that the rollout minimises.
    :param participants: the hosts, in any order.
    :param first_region: region of the origin, empty if unknown.
    :return: the plan, with its participants sorted.
    :raises CassiahitchError: ``plan_corrupt`` if a host is duplicate or a value is invalid.
    """
    plan = RolloutPlan(rollout, manifest, objective, tuple(sorted(participants)), first_region)
    return parse_plan(plan.to_json())


def parse_plan(raw: bytes) -> RolloutPlan:
    """Parse a plan.

    :param raw: the plan as JSON.
    :return: the plan.
    :raises CassiahitchError: ``plan_corrupt`` if it is invalid.
    """
    if len(raw) > MAX_PLAN_BYTES:
        raise CassiahitchError(Code.plan_corrupt, 'plan is too large')
    try:
        model = _PlanModel.model_validate_json(raw)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise CassiahitchError(Code.plan_corrupt, str(first['msg'])) from error
    participants = tuple(
        sorted(
            Participant(member.host, member.region, member.failure_domain)
            for member in model.participants
        )
    )
    if len({member.host for member in participants}) != len(participants):
        raise CassiahitchError(Code.plan_corrupt, 'plan has duplicate participant hosts')
    return RolloutPlan(
        model.rollout, model.manifest, model.objective, participants, model.first_region
    )


__all__ = (
    'Participant',
    'RolloutPlan',
    'build_plan',
    'parse_plan',
)
