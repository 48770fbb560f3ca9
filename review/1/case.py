"""Clients that send a head without end must not bring a front door over its limit of memory."""

import asyncio
import random
import sys
from pathlib import Path

from standins import IS_TROUBLED, Client, CouldNotRun, FrontDoor, Platform, Record, play

FOLDER = Path(__file__).resolve().parent

BAD_CLIENTS = 16  # at once, at each of the front doors
WAVES = 4
WAVE_EVERY_S = 6.0
CLIENTS = 10
END_S = 26.0
LOOK_EVERY_S = 0.02
LATE_S = 0.55  # up to half a second after its time, an answer only earns nothing; 50 ms more on sockets


async def case(record: Record) -> bool:
    platform = Platform(record)
    counts = {"served": 0, "refused": 0, "failed": 0, "lost": 0}
    highest = {}
    killed: list[str] = []

    async def watch_memory(door: FrontDoor) -> None:
        """Kill the front door once it is over its limit, as the platform does."""
        limit_mb = platform.limits["memory_mb"]
        highest[door.name] = 0.0
        while record.now() < start_s + END_S:
            used_mb = door.memory_mb()
            highest[door.name] = max(highest[door.name], used_mb)
            if used_mb > limit_mb:
                record(f"{door.name} holds {used_mb:.0f} MB, over its limit of {limit_mb} MB, and is killed")
                killed.append(door.name)
                await door.kill()
                return
            await asyncio.sleep(LOOK_EVERY_S)

    async def ask_until_the_end(client: Client) -> None:
        while record.now() < start_s + END_S and client.door.name not in killed:
            kind = "lesson-book" if random.random() < 0.39 else "slots-read"
            expires_in_ms = random.randint(1500, 3000)
            sent_at = record.now()
            answer = await client.ask(kind, expires_in_ms)
            if answer is None or record.now() > sent_at + expires_in_ms / 1000 + LATE_S:
                counts["lost"] += 1
                record(f"LOST: {client.trace_id}")
            elif answer.status == 200:
                counts["served"] += 1
            else:
                counts["refused" if answer.status in (429, 503) else "failed"] += 1
            await asyncio.sleep(random.uniform(0.1, 0.3))

    async def send_endless_heads(door: FrontDoor) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(FOLDER / "bad_client.py"),
            str(door.port),
            str(BAD_CLIENTS),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        for line in output.decode().splitlines():
            record(f"{door.name}: {line}")

    try:
        await platform.start()
        start_s = record.now()
        clients = [
            Client(door, record, 0xB4D60000 + index) for door in platform.doors for index in range(CLIENTS)
        ]
        tasks = [asyncio.create_task(watch_memory(door)) for door in platform.doors]
        tasks += [asyncio.create_task(ask_until_the_end(client)) for client in clients]
        for _ in range(WAVES if IS_TROUBLED else 0):
            await asyncio.sleep(WAVE_EVERY_S / 2)
            await asyncio.gather(*(send_endless_heads(d) for d in platform.doors if d.name not in killed))
        await asyncio.gather(*tasks)
    finally:
        await platform.stop()
    used = ", ".join(f"{name} {used_mb:.0f} MB" for name, used_mb in highest.items())
    record.verdict(
        f"most memory held: {used}; limit {platform.limits['memory_mb']} MB;"
        f" killed: {', '.join(killed) or 'none'}; requests of usual clients: {counts}"
    )
    if counts["served"] < 20:
        raise CouldNotRun("too few requests were served")
    return bool(killed)


if __name__ == "__main__":
    play(FOLDER, case)
