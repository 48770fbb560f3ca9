"""A client's request between its connection and the handler that answers it."""

from __future__ import annotations

from typing import Protocol

from yardlane.proxy.request_validation import ParsedRequest


class RequestConnection(Protocol):
    """What a handler may ask of the connection that a request came on."""

    def reply(self, request: ClientRequest, status: int, body: bytes, header_lines: bytes) -> None:
        """Answer `request` in its turn."""

    def close_if_client_disconnected(self) -> bool:
        """End all that is pending if the client has left; whether it has. Due before an attempt begins."""


class ClientRequest:
    """A client's request in its place among the responses of its connection."""

    __slots__ = ("closes_connection", "connection", "parsed", "request_id", "response")

    def __init__(self, connection: RequestConnection) -> None:
        self.connection = connection
        self.parsed: ParsedRequest | None = None  # stays so where it is not valid
        self.request_id = -1  # given by the handler
        self.response = b""
        self.closes_connection = False

    def reply(self, status: int, body: bytes, header_lines: bytes = b"") -> None:
        """The final response; any further one is dropped. `header_lines` holds whole lines."""
        self.connection.reply(self, status, body, header_lines)


class RequestHandler(Protocol):
    """What serves the requests of all connections."""

    def handle_request(self, request: ClientRequest, parsed: ParsedRequest) -> None:
        """Take charge of a valid request: `request.reply` is due, now or later."""

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """The client has left: `request` cannot be answered any more."""

    def abandon_request(self, request: ClientRequest) -> None:
        """The connection ends with an error: answer `request` at once."""

    def is_ready(self) -> bool:
        """Whether the health check passes."""
