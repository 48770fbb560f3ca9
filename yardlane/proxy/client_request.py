"""Defines a client's request and the interfaces between its connection and its handler."""

from __future__ import annotations

from typing import Protocol

from yardlane.proxy.request_validation import ParsedRequest


class RequestConnection(Protocol):
    """The part of a client connection's interface that requests and their handler use."""

    def reply(self, request: ClientRequest, status: int, body: bytes, header_lines: bytes) -> None:
        """Answer `request`: write the response now, or once all earlier requests have been answered."""

    def close_if_client_disconnected(self) -> bool:
        """If the client has disconnected, close the connection and end its requests; return whether it has.

        Must be called before an attempt starts.
        """


class ClientRequest:
    """A request of a client, with its response once it has been answered."""

    __slots__ = ("closes_connection", "connection", "counted_bytes", "parsed", "request_id", "response")

    def __init__(self, connection: RequestConnection) -> None:
        self.connection = connection
        self.parsed: ParsedRequest | None = None  # None for an invalid request or a health check
        self.request_id = -1  # the handler assigns the id of a valid request
        self.counted_bytes = 0  # what `ClientMemory` counts for it
        self.response = b""  # empty until the request is answered
        self.closes_connection = False  # whether the connection closes after the response

    def reply(self, status: int, body: bytes, header_lines: bytes = b"") -> None:
        """Send the final response; a second one is discarded.

        `header_lines` holds complete header lines, each with its CRLF.
        """
        self.connection.reply(self, status, body, header_lines)


class RequestHandler(Protocol):
    """Serves the requests of all client connections.

    `open_trace_ids` has the trace ids of all requests that have not ended completely: a request without an
    answer, or one that still has an attempt in flight.
    """

    open_trace_ids: set[bytes]

    def handle_request(self, request: ClientRequest, parsed: ParsedRequest) -> None:
        """Serve a valid request by calling `request.reply`, now or later."""

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """Called when `request` can no longer be answered because its client has disconnected."""

    def abandon_request(self, request: ClientRequest) -> None:
        """Answer `request` at once, because a request timeout is about to close its connection."""

    def is_ready(self) -> bool:
        """Return whether the health check passes."""
