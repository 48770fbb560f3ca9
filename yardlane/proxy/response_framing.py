"""Tells whether the end of the connection ends the body of a response (RFC 9112, section 6.3).

A body whose head has neither `Content-Length` nor `Transfer-Encoding` ends with the connection. httptools
ends a message only by its length or its last chunk, or at its head if the status allows no body, and cannot
be told that the connection has ended. Both readers of responses therefore ask a `ResponseFraming`.

Only an orderly end (a FIN) ends such a body. uvloop reports it by calling `eof_received`, after all bytes
that arrived before it. After a reset it calls `connection_lost` with an error and never `eof_received`, even
if the reset arrives in the same iteration of the event loop as the bytes before it. A sender that fails in
the middle of such a body may still end its connection in order; this cannot be recognised here.
"""

from __future__ import annotations


class ResponseFraming:
    """What the head of one response at a time says about the end of its body. Its reader sets both fields."""

    __slots__ = ("has_framing_header", "is_in_body")

    def __init__(self) -> None:
        self.has_framing_header = False  # since the response began
        self.is_in_body = False  # the head is complete, and the response is not

    def ends_with_connection(self) -> bool:
        """Return whether an orderly end of the connection now completes the response."""
        return self.is_in_body and not self.has_framing_header
