"""The exit codes of `python -m yardlane` and its one-line error messages."""

import asyncio
import signal
from pathlib import Path

import pytest

from tests.front_door_process import free_port, start_process
from tests.loopback import FakeServer, endpoint_list_dict, member_dict, settings_dict


def test_sigterm_exits_with_code_0(tmp_path: Path) -> None:
    """SIGTERM arrives while no request is open, and the process must exit with 0.

    With any other code, its supervisor would report a crash at each planned restart.
    """

    async def run() -> None:
        async with FakeServer() as discovery:
            process = await start_process(
                tmp_path / "config.json",
                {
                    "listen": f"127.0.0.1:{await free_port()}",
                    "discovery": f"127.0.0.1:{discovery.port}",
                    "seed": "1f",
                    "settings": settings_dict(),
                    "known": endpoint_list_dict(member_dict("s-1", 9)),
                },
            )
            await discovery.accept_connection()  # the process has started, and listens
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            assert process.returncode == 0, errors

    asyncio.run(run())


async def run_until_exit(path: Path, configuration: object) -> tuple[int | None, str]:
    """Run a front door until it exits; return its exit code and its standard error output."""
    process = await start_process(path, configuration)
    _, errors = await process.communicate()
    return process.returncode, errors.decode()


def test_unavailable_listen_address_exits_with_code_1(tmp_path: Path) -> None:
    """The listen address is not local to this machine. The process must exit, as it cannot serve clients."""
    configuration = {
        "listen": "203.0.113.1:80",
        "discovery": "127.0.0.1:9",
        "seed": "1f",
        "settings": settings_dict(),
    }
    code, errors = asyncio.run(run_until_exit(tmp_path / "config.json", configuration))
    assert code == 1
    assert errors.splitlines()[-1].startswith("yardlane: cannot listen on 203.0.113.1:80: ")


@pytest.mark.parametrize(
    ("configuration", "message"),
    [
        ({}, "settings is missing or not a JSON object"),
        ({"settings": {"rank": 0}}, "discovery is missing"),
        ({"settings": settings_dict(rank=7)}, "rank is 7"),
        ({"settings": settings_dict(), "listen": "nowhere"}, "listen is 'nowhere'"),
        (
            {"settings": settings_dict(), "listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "seed": "xyz"},
            "seed is",
        ),
        ([], "must contain a JSON object"),
        ({"settings": settings_dict(), "limits": [256]}, "limits is [256]"),
        ({"settings": settings_dict(), "limits": {"sockets": -5}}, "limits.sockets is -5"),
        ({"settings": settings_dict(), "limits": {"sockets": "many"}}, "limits.sockets is 'many'"),
        ({"settings": settings_dict(), "limits": {"memory_mb": -1}}, "limits.memory_mb is -1"),
        ({"settings": settings_dict(), "limits": {"memory_mb": [9]}}, "limits.memory_mb is [9]"),
        ({"settings": settings_dict(packages=[{"refill": "nan"}])}, "packages.0.refill is not finite"),
        ({"settings": settings_dict(permissions={"max_attempts": 0})}, "permissions.max_attempts is 0"),
        (
            {
                "listen": "127.0.0.1:9",
                "discovery": "127.0.0.1:9",
                "settings": settings_dict(
                    permissions={**settings_dict()["permissions"], "connect_timeout_us": 0}
                ),
            },
            "connect_timeout_us is 0",
        ),
    ],
)
def test_invalid_configuration_exits_with_code_2(configuration: object, message: str, tmp_path: Path) -> None:
    """A value in the configuration is missing or invalid.

    One line must name the value, and the process must exit instead of running with another value.
    """
    code, errors = asyncio.run(run_until_exit(tmp_path / "config.json", configuration))
    assert code == 2 and errors.count("\n") == 1 and message in errors
