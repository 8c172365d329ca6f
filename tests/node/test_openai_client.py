"""OpenAI's client library completes and streams through a node."""

from __future__ import annotations

import openai
import testtools

from tests.node.running_node import RunningNode, on_node


def openai_client(node: RunningNode) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        base_url=f"http://{node.settings.listen}/v1",
        api_key="unused",
        max_retries=0,
        default_headers={"X-Tenant": "archive"},
    )


class OpenAiClientTest(testtools.TestCase):
    @on_node()
    async def test_completes(self, node: RunningNode) -> None:
        async with openai_client(node) as client:
            answer = await client.completions.create(model="qari", prompt="echo a b")
            self.assertEqual("echoab", answer.choices[0].text)
            self.assertEqual("stop", answer.choices[0].finish_reason)
            self.assertEqual(["advice", "qari"], [m.id async for m in client.models.list()])

    @on_node()
    async def test_streams(self, node: RunningNode) -> None:
        async with openai_client(node) as client:
            stream = await client.completions.create(model="qari", prompt="echo a b", stream=True)
            chunks = [chunk async for chunk in stream]
            self.assertEqual("echoab", "".join(chunk.choices[0].text for chunk in chunks))
            self.assertEqual("stop", chunks[-1].choices[0].finish_reason)
            versions = (chunks[-1].model_extra or {})["versions"]
            self.assertEqual([{"version": 3, "token_count": 3}], versions)

    @on_node()
    async def test_failures_raise(self, node: RunningNode) -> None:
        async with openai_client(node) as client:
            try:
                await client.completions.create(model="qari", prompt="fail")
            except openai.InternalServerError as error:
                self.assertEqual(503, error.status_code)
            else:
                self.fail("no error")
            stream = await client.completions.create(model="qari", prompt="fail late", stream=True)
            try:
                [chunk async for chunk in stream]
            except openai.APIError:
                return
            self.fail("a truncated stream raised no error")
