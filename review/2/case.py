"""Requests whose bodies come in many small pieces must not bring a front door over its limit of memory."""

import asyncio
import json
from pathlib import Path

from standins import IS_TROUBLED, Client, CouldNotRun, FrontDoor, Platform, Record, play, read_message

FOLDER = Path(__file__).resolve().parent

MAX_BODY_BYTES = 65_536
CLIENTS = 340  # at each front door: a third of its 1,024 descriptors
CLIENTS_PER_S = 25.0
LOOK_EVERY_S = 0.02


def make_pieces() -> list[bytes]:
    """Return a body of almost 64 KiB, a term's lessons as JSON, in the pieces that the encoder yields."""
    lessons: list[dict[str, int]] = []
    pieces: list[bytes] = []
    while True:
        lessons += [{"day": 1 + len(lessons) % 7, "slot": 900 + len(lessons) % 800, "room": 7, "fee": 45}] * 8
        longer = [piece.encode() for piece in json.JSONEncoder().iterencode(lessons)]
        if sum(map(len, longer)) > MAX_BODY_BYTES:
            return pieces
        pieces = longer


async def case(record: Record) -> bool:
    platform = Platform(record)
    pieces = make_pieces()
    body = b"".join(pieces)
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
    record(f"a body has {len(body)} bytes, in {len(pieces) if IS_TROUBLED else 1} pieces")
    counts = {"served": 0, "others": 0}
    highest: dict[str, float] = {}
    killed: list[str] = []
    clients: list[Client] = []
    is_over = False

    async def watch_memory(door: FrontDoor) -> None:
        """Kill the front door once it is over its limit, as the platform does."""
        limit_mb = platform.limits["memory_mb"]
        highest[door.name] = 0.0
        while not is_over:
            used_mb = door.memory_mb()
            highest[door.name] = max(highest[door.name], used_mb)
            if used_mb > limit_mb:
                record(f"{door.name} holds {used_mb:.0f} MB, over its limit of {limit_mb} MB, and is killed")
                killed.append(door.name)
                await door.kill()
                return
            await asyncio.sleep(LOOK_EVERY_S)

    async def ask_once(client: Client) -> None:
        """Send one request on a new connection, read its answer, and keep the connection."""
        if IS_TROUBLED:
            head = client.encode("lesson-book", 3000)
            data = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + chunks
        else:
            data = client.encode("lesson-book", 3000, body)
        try:
            reader, writer = await client.connect()
            writer.write(data)
            async with asyncio.timeout(4.0):
                answer = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            record(f"client {client.account:x} got no answer from {client.door.name}: {error!r}")
            counts["others"] += 1
            return
        record(f"client {client.account:x} got {answer.status} from {client.door.name}")
        counts["served" if answer.status == 200 else "others"] += 1

    try:
        await platform.start()
        watches = [asyncio.create_task(watch_memory(door)) for door in platform.doors]
        requests = []
        for index in range(CLIENTS):
            for door in platform.doors:
                if door.name not in killed:
                    clients.append(Client(door, record, 0xB4D60000 + len(clients)))
                    requests.append(asyncio.create_task(ask_once(clients[-1])))
            await asyncio.sleep(1 / CLIENTS_PER_S)
            if index % 25 == 0:
                record(", ".join(f"{name}: at most {used_mb:.0f} MB" for name, used_mb in highest.items()))
        await asyncio.gather(*requests)
        is_over = True
        await asyncio.gather(*watches)
    finally:
        for client in clients:
            client.close()
        await platform.stop()
    used = ", ".join(f"{name} {used_mb:.0f} MB" for name, used_mb in highest.items())
    record.verdict(
        f"most memory held: {used}; limit {platform.limits['memory_mb']} MB; killed:"
        f" {', '.join(killed) or 'none'}; {len(clients)} clients with one request each: {counts}"
    )
    if counts["served"] < 20:
        raise CouldNotRun("too few requests were served")
    return bool(killed)


if __name__ == "__main__":
    play(FOLDER, case)
