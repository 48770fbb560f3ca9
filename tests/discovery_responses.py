"""What discovery answers, as the bytes of HTTP responses."""

from tests.loopback import answer, as_json, whole_list


def delta(revision: int, *members: dict[str, object]) -> bytes:
    """The changes since the version that was asked for."""
    return answer(200, as_json({"revision": revision, "complete": False, "members": list(members)}))


def snapshot(revision: int, *members: dict[str, object]) -> bytes:
    """The whole list."""
    return answer(200, as_json(whole_list(*members, revision=revision)))


ENDLESS_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
"""The head of a response whose body may come in as many chunks as the test likes."""
