"""A second answer that comes some milliseconds late must not be served to the next request."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins import IS_TROUBLED, Backend, Client, CouldNotRun, Message, Platform, Record, play

FOLDER = Path(__file__).resolve().parent

LATE_S = 0.015
SECOND_ANSWER_SHARE = 0.5
CLIENTS = 9
ROUNDS = 30


async def case(record: Record) -> bool:
    platform = Platform(record)
    tasks: set[asyncio.Task[None]] = set()
    foreign = own = second = 0

    async def send_again(backend: Backend, data: bytes, trace_id: str, writer: asyncio.StreamWriter) -> None:
        nonlocal second
        await asyncio.sleep(LATE_S)
        if not writer.is_closing():
            second += 1
            writer.write(data)
            record(f"{backend.name} sent its answer to {trace_id} a second time")

    def make_answer(backend: Backend) -> Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]:
        async def answer(request: Message, writer: asyncio.StreamWriter) -> bool:
            result = await backend.answer_plainly(request, writer)
            if IS_TROUBLED and random.random() < SECOND_ANSWER_SHARE:
                body = backend.body_for(request)
                data = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                task = asyncio.create_task(send_again(backend, data, request.trace_id, writer))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            return result

        return answer

    async def ask_repeatedly(client: Client) -> None:
        nonlocal foreign, own
        for index in range(ROUNDS):
            kind = "lesson-book" if index % 3 == 0 else "slots-read"
            answer = await client.ask(kind)
            if answer is not None and answer.status == 200:
                if answer.body.decode().split()[-1] == client.trace_id:
                    own += 1
                else:
                    foreign += 1
                    record(f"FOREIGN: {client.trace_id} was served {answer.body!r}")
            await asyncio.sleep(random.uniform(0.0095, 0.0120))

    try:
        for backend in platform.backends:
            backend.answer = make_answer(backend)
        await platform.start()
        clients = [
            Client(door, record, 0xB4D60000 + index) for door in platform.doors for index in range(CLIENTS)
        ]
        await asyncio.gather(*(ask_repeatedly(client) for client in clients))
    finally:
        await platform.stop()
    record.verdict(f"{second} second answers; served: {own} with their own answer, {foreign} with another's")
    if own + foreign < CLIENTS * ROUNDS / 2:
        raise CouldNotRun("fewer than half of the requests were served")
    return bool(foreign)


if __name__ == "__main__":
    play(FOLDER, case)
