"""HTTP responses of discovery, as bytes, for tests."""

from tests.loopback import encode_json, endpoint_list_dict, make_response


def delta_body(revision: int, *members: dict[str, object]) -> bytes:
    """Return a delta as JSON: `members` are the entries that have changed."""
    return encode_json({"revision": revision, "complete": False, "members": list(members)})


def delta_response(revision: int, *members: dict[str, object]) -> bytes:
    """Return a response with a delta: `members` are the entries that have changed."""
    return make_response(200, delta_body(revision, *members))


def snapshot_body(revision: int, *members: dict[str, object]) -> bytes:
    """Return the complete list as JSON."""
    return encode_json(endpoint_list_dict(*members, revision=revision))


def snapshot_response(revision: int, *members: dict[str, object]) -> bytes:
    """Return a response with the complete list."""
    return make_response(200, snapshot_body(revision, *members))


def response_without_length(body: bytes) -> bytes:
    """Return a response whose body ends with the connection."""
    return b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + body


CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
"""The head of a chunked response, whose body may consist of any number of chunks."""
