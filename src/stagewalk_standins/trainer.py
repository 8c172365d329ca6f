"""Stand-in for a trainer: submits rollout lots, pulls samples and publishes weight versions."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import httpx
import msgspec

from stagewalk.common.identities import SampleSlotKey, TenantName, WeightVersion
from stagewalk.history.answer_text import answer_length
from stagewalk.history.observations import (
    SampleAccepted,
    StepCompleted,
    StepStarted,
    VersionPublished,
)
from stagewalk.node.core.rollouts import sample_seed
from stagewalk_standins.event_log import log_event
from stagewalk_standins.history_file import clock
from stagewalk_standins.http_client import open_client
from stagewalk_standins.node_pool import NodePool
from stagewalk_standins.trainer_checkpoint import CheckpointFile
from stagewalk_standins.trainer_protocol import (
    LotBody,
    PromptBody,
    PublishedVersionBody,
    PullAnswer,
    PullBody,
    PulledSample,
    VersionList,
)

RETRY_SECONDS = 0.5
PULL_WAIT_SECONDS = 5.0
PULL_SAMPLES = 64
CALL_TIMEOUT_SECONDS = 15.0
PROMPT_PADDING_CHARACTERS = 400


@dataclass(frozen=True, slots=True, kw_only=True)
class TrainerOptions:
    """Settings of a trainer.

    Attributes
    ----------
    look_ahead
        Submit the next step's lot before training, so that rollouts run in the meantime.
    deadline_seconds
        Target completion time of a step's lot.
    weights_url
        Weight store to publish to.
    """

    tenant: str
    trainer: str
    model: str
    steps: int
    prompts: int
    samples_per_prompt: int
    max_tokens: int
    train_seconds: float
    look_ahead: bool
    deadline_seconds: float
    weights_url: str
    size_bytes: int


class Trainer:
    """Runs steps in sequence, and fails over to another node when a call fails."""

    def __init__(
        self,
        options: TrainerOptions,
        nodes: NodePool,
        client: httpx.AsyncClient,
        checkpoint: CheckpointFile,
    ) -> None:
        self._options = options
        self._nodes = nodes
        self._client = client
        self._checkpoint = checkpoint
        self._state = checkpoint.state
        self._published: list[PublishedVersionBody] = []

    async def run(self) -> None:
        """Run the remaining steps."""
        await self._find_version()
        while self._state.step <= self._options.steps:
            if not self._state.complete:
                await self._collect()
            if self._options.look_ahead and self._state.step < self._options.steps:
                await self._submit(self._state.step + 1)
            await anyio.sleep(self._options.train_seconds)
            await self._publish()
        log_event("trainer_finished", accepted=self._state.accepted)

    async def _collect(self) -> None:
        """Wait for every sample of the step."""
        state, options = self._state, self._options
        if state.waiting_since is None:
            state.waiting_since = clock()
            self._checkpoint.commit(
                StepStarted(
                    at=clock(),
                    tenant=options.tenant,
                    trainer=options.trainer,
                    step=state.step,
                    slots=options.prompts * options.samples_per_prompt,
                )
            )
            log_event("step_started", step=state.step, version=state.version)
        await self._submit(state.step)
        while not state.complete:
            answer = await self._pull()
            if answer is not None:
                self._accept(answer)

    def _accept(self, answer: PullAnswer) -> None:
        state, options = self._state, self._options
        observations: list[SampleAccepted | StepCompleted] = [
            self._observation(sample) for sample in answer.samples
        ]
        state.cursor = answer.cursor
        state.accepted += len(answer.samples)
        state.accepted_in_step += len(answer.samples)
        state.complete = answer.complete
        if answer.complete:
            assert state.waiting_since is not None
            idle_seconds = clock() - state.waiting_since
            observations.append(
                StepCompleted(
                    at=clock(),
                    tenant=options.tenant,
                    trainer=options.trainer,
                    step=state.step,
                    idle_seconds=idle_seconds,
                    training_seconds=options.train_seconds,
                )
            )
            log_event("step_completed", step=state.step, idle_seconds=idle_seconds)
        if observations or answer.complete:
            self._checkpoint.commit(*observations)
        log_event(
            "samples_pulled",
            step=state.step,
            samples=len(answer.samples),
            accepted=state.accepted_in_step,
            remaining=answer.remaining,
        )

    def _observation(self, sample: PulledSample) -> SampleAccepted:
        options, state = self._options, self._state
        slot = SampleSlotKey(
            TenantName(options.tenant),
            options.trainer,
            state.step,
            sample.prompt_id,
            sample.sample_index,
        )
        seed = sample_seed(slot)
        prompt = self._prompt(state.step, sample.prompt_id)
        return SampleAccepted(
            at=clock(),
            tenant=options.tenant,
            trainer=options.trainer,
            step=state.step,
            prompt_id=sample.prompt_id,
            sample_index=sample.sample_index,
            sample_id=sample.sample_id,
            prompt=prompt,
            seed=seed,
            expected_tokens=answer_length(prompt, seed, options.max_tokens),
            text=sample.text,
            spans=tuple(sample.versions),
            trainer_version=state.version,
            age_seconds=self._age_seconds(sample),
        )

    def _age_seconds(self, sample: PulledSample) -> float:
        """Return the time since a newer version than the sample's oldest was published."""
        oldest = min((span.version for span in sample.versions), default=WeightVersion(0))
        newer = [each.published_at for each in self._published if each.version > oldest]
        return max(0.0, clock() - min(newer)) if newer else 0.0

    def _prompt(self, step: int, prompt_id: str) -> str:
        options = self._options
        shared = f"{options.tenant} {options.trainer} instructions. ".ljust(
            PROMPT_PADDING_CHARACTERS, "."
        )
        return f"{shared} Step {step}, case {prompt_id}."

    async def _submit(self, step: int) -> None:
        """Submit a step's lot until a node accepts it; idempotent."""
        while True:
            node = self._nodes.current
            if await self._submit_to(node.url, step):
                return
            self._nodes.move_on(node)
            await anyio.sleep(RETRY_SECONDS)

    async def _submit_to(self, url: str, step: int) -> bool:
        options = self._options
        body = LotBody(
            tenant=options.tenant,
            trainer=options.trainer,
            step=step,
            model=options.model,
            version=self._state.version,
            prompts=[
                PromptBody(f"p{index}", self._prompt(step, f"p{index}"), options.max_tokens)
                for index in range(options.prompts)
            ],
            samples_per_prompt=options.samples_per_prompt,
            deadline_seconds=options.deadline_seconds,
        )
        answer = await self._post(f"{url}/v1/rollouts", body)
        if answer is None or answer.status_code != 202:
            return False
        log_event("lot_submitted", step=step, url=url)
        return True

    async def _pull(self) -> PullAnswer | None:
        options, state = self._options, self._state
        node = self._nodes.current
        body = PullBody(
            tenant=options.tenant,
            trainer=options.trainer,
            step=state.step,
            cursor=state.cursor,
            version=state.version,
            max_samples=PULL_SAMPLES,
            wait_seconds=PULL_WAIT_SECONDS,
        )
        answer = await self._post(f"{node.url}/v1/rollouts/pull", body)
        if answer is not None and answer.status_code == 200:
            return msgspec.json.decode(answer.content, type=PullAnswer)
        unknown_lot = answer is not None and answer.status_code == 404
        if unknown_lot and await self._submit_to(node.url, state.step):
            return None
        self._nodes.move_on(node)
        await anyio.sleep(RETRY_SECONDS)
        return None

    async def _post(self, url: str, body: msgspec.Struct) -> httpx.Response | None:
        headers = {"content-type": "application/json"}
        content = msgspec.json.encode(body)
        try:
            answer = await self._client.post(url, content=content, headers=headers)
        except httpx.HTTPError as error:
            log_event("call_failed", url=url, error=type(error).__name__)
            return None
        if answer.status_code >= 400:
            log_event("call_refused", url=url, status=answer.status_code, body=answer.text[:300])
        return answer

    async def _publish(self) -> None:
        """Publish the next version, repeating the call if its outcome is unknown."""
        version = await self._choose_version()
        unsettled = False
        while True:
            answer = await self._put_version(version)
            if answer is None:
                unsettled = True
                await anyio.sleep(RETRY_SECONDS)
            elif answer.status_code == 201 or (unsettled and answer.status_code == 409):
                body = msgspec.json.decode(answer.content, type=PublishedVersionBody)
                self._finish_step(body)
                return
            else:
                version = await self._choose_version()

    async def _choose_version(self) -> int:
        await self._read_versions()
        version = max([self._state.version, *(each.version for each in self._published)]) + 1
        self._state.publishing = version
        self._checkpoint.commit()
        return version

    async def _put_version(self, version: int) -> httpx.Response | None:
        url = f"{self._options.weights_url}/models/{self._options.model}/versions/{version}"
        try:
            return await self._client.put(url, json={"size_bytes": self._options.size_bytes})
        except httpx.HTTPError as error:
            log_event("publish_failed", version=version, error=type(error).__name__)
            return None

    async def _read_versions(self) -> None:
        """Read the weight store's version list, retrying until it succeeds."""
        url = f"{self._options.weights_url}/models/{self._options.model}/versions"
        while True:
            try:
                answer = await self._client.get(url)
                answer.raise_for_status()
            except httpx.HTTPError as error:
                log_event("versions_not_read", error=type(error).__name__)
                await anyio.sleep(RETRY_SECONDS)
            else:
                self._published = msgspec.json.decode(answer.content, type=VersionList).versions
                return

    async def _find_version(self) -> None:
        """Find the starting version, and finish a publish interrupted by a restart."""
        await self._read_versions()
        state = self._state
        if not self._checkpoint.restored:
            state.version = max((each.version for each in self._published), default=0)
            self._checkpoint.commit()
        for each in self._published:
            if each.version == state.publishing:
                self._finish_step(each)

    def _finish_step(self, published: PublishedVersionBody) -> None:
        """Set the version just published and move on to the next step."""
        state = self._state
        state.version = published.version
        state.publishing = None
        state.step += 1
        state.waiting_since = None
        state.cursor = ""
        state.accepted_in_step = 0
        state.complete = False
        if published not in self._published:
            self._published.append(published)
        self._checkpoint.commit(
            VersionPublished(
                at=published.published_at, model=self._options.model, version=published.version
            )
        )
        log_event("version_published", version=published.version)


async def run_trainer(options: TrainerOptions, nodes: NodePool, checkpoint: CheckpointFile) -> None:
    """Run a trainer to its last step."""
    async with open_client(timeout=CALL_TIMEOUT_SECONDS) as client:
        await Trainer(options, nodes, client, checkpoint).run()
