"""HTTP responses of discovery, as bytes, for tests."""

from tests.loopback import encode_json, endpoint_list_dict, make_response


def delta_response(revision: int, *members: dict[str, object]) -> bytes:
    """Return a response with a delta: `members` are the entries that have changed."""
    return make_response(
        200, encode_json({"revision": revision, "complete": False, "members": list(members)})
    )


def snapshot_response(revision: int, *members: dict[str, object]) -> bytes:
    """Return a response with the complete list."""
    return make_response(200, encode_json(endpoint_list_dict(*members, revision=revision)))


CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
"""The head of a chunked response, whose body may consist of any number of chunks."""
