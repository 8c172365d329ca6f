"""Small histories for the checker's tests."""

from __future__ import annotations

from stagewalk.common.identities import ModelName, WeightVersion
from stagewalk.history.answer_text import content_key, render_chunk
from stagewalk.history.observations import (
    AnyObservation,
    RecordAppended,
    RequestAnswered,
    RequestCut,
    RequestRefused,
    RequestSent,
    SampleAccepted,
    WorkReceived,
    WorkRefused,
)
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.core.completions import VersionSpan

PROMPT = "boundary notes of folio 12"
SEED = 3
TOKENS = 8


def answer_text(*versions: int, prompt: str = PROMPT) -> str:
    key = content_key(prompt, SEED)
    size = TOKENS // len(versions)
    return "".join(
        render_chunk(key, index * size, (index + 1) * size, WeightVersion(version))
        for index, version in enumerate(versions)
    )


def spans(*versions: int) -> tuple[VersionSpan, ...]:
    size = TOKENS // len(versions)
    return tuple(VersionSpan(WeightVersion(version), size) for version in versions)


def sent(at: float, request: str = "r", repeatable: bool = True, node: str = "n1") -> RequestSent:
    return RequestSent(
        at=at,
        caller="c",
        node=node,
        tenant="t",
        request_id=request,
        repeatable=repeatable,
        prompt=PROMPT,
        seed=SEED,
        expected_tokens=TOKENS,
    )


def answered(
    at: float, text: str, named: tuple[VersionSpan, ...], request: str = "r"
) -> RequestAnswered:
    return RequestAnswered(
        at=at, caller="c", node="n1", tenant="t", request_id=request, text=text, spans=named
    )


def refused(
    at: float, ran: str = "no", node: str = "n1", kind: str = "overloaded"
) -> RequestRefused:
    return RequestRefused(
        at=at,
        caller="c",
        node=node,
        tenant="t",
        request_id="r",
        ran=ran,
        kind=kind,
        step="admission",
        peer=node,
    )


def cut(at: float, node: str = "n1") -> RequestCut:
    return RequestCut(at=at, caller="c", node=node, tenant="t", request_id="r")


def work(at: float, attempt: str = "a1", resumed: bool = False, engine: str = "e1") -> WorkReceived:
    return WorkReceived(
        at=at,
        engine=engine,
        incarnation=1,
        attempt=attempt,
        request_id="r",
        tenant="t",
        resumed=resumed,
    )


def work_refused(at: float) -> WorkRefused:
    return WorkRefused(at=at, engine="e1", incarnation=1, attempt="a1", request_id="r", tenant="t")


def sample(
    at: float,
    versions: tuple[int, ...] = (4,),
    trainer_version: int = 4,
    index: int = 0,
    age_seconds: float = 0.0,
) -> SampleAccepted:
    return SampleAccepted(
        at=at,
        tenant="t",
        trainer="trainer",
        step=1,
        prompt_id="p",
        sample_index=index,
        sample_id=f"s{index}",
        prompt=PROMPT,
        seed=SEED,
        expected_tokens=TOKENS,
        text=answer_text(*versions),
        spans=spans(*versions),
        trainer_version=trainer_version,
        age_seconds=age_seconds,
    )


def record(at: float, offset: int, payload: bytes = b"1") -> RecordAppended:
    return RecordAppended(
        at=at, stream="configuration", offset=offset, record_id=f"rec{offset}", payload=payload
    )


class ScriptedOracle:
    """Accepts a record whose payload is a number: the bound in versions from then on."""

    def __init__(self) -> None:
        self._bound = 1
        self._revision = 0

    def apply(self, record: RecordAppended) -> bool:
        accepted = record.payload.isdigit()
        if accepted:
            self._revision += 1
            self._bound = int(record.payload)
        return accepted

    def parameters(self) -> dict[str, TenantParameters]:
        return {
            "t": TenantParameters(
                models=(ModelName("m"),),
                staleness_bound_versions=self._bound,
                staleness_bound_seconds=30.0,
            )
        }

    def revisions(self) -> dict[str, int]:
        return {"t": self._revision} if self._revision else {}

    def digest(self) -> str:
        return f"digest{self._revision}"


History = list[AnyObservation]
