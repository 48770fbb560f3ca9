"""What discovery answers, as the bytes of HTTP responses."""

from tests.loopback import encode_json, endpoint_list_dict, make_response


def delta_response(revision: int, *members: dict[str, object]) -> bytes:
    """The changes since the version that was asked for."""
    return make_response(
        200, encode_json({"revision": revision, "complete": False, "members": list(members)})
    )


def snapshot_response(revision: int, *members: dict[str, object]) -> bytes:
    """The whole list."""
    return make_response(200, encode_json(endpoint_list_dict(*members, revision=revision)))


CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
"""The head of a response whose body may come in as many chunks as the test likes."""
