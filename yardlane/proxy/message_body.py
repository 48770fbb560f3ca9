"""Collects the body of a request or a response, which may arrive in any number of parts."""

from __future__ import annotations

MAX_BODY_BYTES = 65_536  # of a request or a response; the limit of the protocol

# A bytearray if the body has arrived in several parts.
Body = bytes | bytearray


def append_part(body: Body, part: bytes) -> Body:
    """Return `body` with `part` at its end; a bytearray is changed in place.

    A body of one part is kept as it is, without a copy. Further parts are collected in one buffer, because a
    part of a single byte takes fifty as an object of its own, and a peer may send thousands of them.
    """
    if not body:
        return part
    if isinstance(body, bytes):
        body = bytearray(body)
    body += part
    return body
