"""Tests that pipelined requests are each answered once and in order, however they are cut into reads."""

import asyncio
import random

import pytest

from tests.loopback import (
    HEALTH_CHECK,
    RunningServer,
    ScriptedDecider,
    leave_pending,
    make_request,
    read_message,
    running_server,
    uvloop_test,
)
from yardlane.decisions.actions import Reject
from yardlane.units import US_PER_MS

SEEDS = range(24)
# All requests together are within the limits of one read and of the backlog.
MAX_REQUESTS = 40
LARGEST_BODY_BYTES = 5_000
PADDING = "p" * 3000


def make_sound_request(rng: random.Random, number: int) -> bytes:
    """Return a small, a padded or a large request."""
    kind = rng.choice(("small", "padded", "large"))
    if kind == "large":
        body = bytes(rng.randrange(LARGEST_BODY_BYTES))
        return make_request("file", f"a{number}", Content_Length=str(len(body))) + body
    return make_request(trace=f"a{number}", X_Padding=PADDING if kind == "padded" else None)


async def reject_at_random(server: RunningServer, rng: random.Random) -> None:
    """Reject the pending requests one after another, in any order; never ends.

    The Retry-After header of an answer tells the number of its request.
    """
    while True:
        open_ids = [number for number, request in server.proxy.requests.items() if not request.has_ended]
        if open_ids:
            request_id = rng.choice(open_ids)
            server.proxy.apply(Reject(request_id, request_id * US_PER_MS))
        for _ in range(rng.randrange(4)):
            await asyncio.sleep(0)
        await asyncio.sleep(0)


async def write_in_pieces(writer: asyncio.StreamWriter, data: bytes, rng: random.Random) -> None:
    """Write `data` in pieces of any size, with pauses between some of them."""
    position = 0
    while position < len(data):
        size = rng.choice((1, 100, 4096, 5000, 30_000, len(data)))
        writer.write(data[position : position + size])
        position += size
        for _ in range(rng.randrange(5)):
            await asyncio.sleep(0)


@pytest.mark.parametrize("seed", SEEDS)
def test_each_pipelined_request_gets_one_answer_in_order(seed: int) -> None:
    """A client pipelines requests of all sizes. Some wait in the backlog, some are parsed in slices, and some
    are beyond the number that may be pending. None may be lost, answered twice or answered out of order."""

    @uvloop_test
    async def run() -> None:
        rng = random.Random(seed)
        async with running_server(ScriptedDecider(leave_pending)) as server:
            reader, writer = await server.connect_client()
            answering = asyncio.ensure_future(reject_at_random(server, rng))
            count = rng.randrange(1, MAX_REQUESTS)
            requests = [make_sound_request(rng, number) for number in range(count)]
            writing = asyncio.ensure_future(write_in_pieces(writer, b"".join(requests), rng))
            answered: list[float] = []
            for _ in range(count):
                line, headers, _ = await read_message(reader)
                assert line.split()[1] in ("429", "503") and "connection" not in headers
                if "retry-after" in headers:
                    answered.append(float(headers["retry-after"]))
            await writing
            assert answered == sorted(set(answered)) and len(answered) == server.proxy.last_request_id
            writer.write(HEALTH_CHECK)
            assert (await read_message(reader))[2] == b"not ready\n"
            answering.cancel()
            assert server.open_request_count == 0
            memory = server.clients.memory
            assert (memory.buffered_bytes, memory.pending_bytes) == (0, 0)

    run()
