"""Reads the requests of one client connection, and limits what this costs the other connections.

A small read is parsed when it arrives, if the connection may have another request and `ReadScheduler`
admits it. All other reads wait in a backlog and are parsed in slices. A read that has been begun is parsed to
its end; requests in it beyond those that may be pending are refused (`ClientConnection.on_request`).

Reading goes on while the connection may not have another request. Otherwise the end of the connection, which
comes behind the unread bytes, would not be noticed, and requests of a client that has left would be forwarded
later. The backlog is limited; beyond the limit the connection is closed with an error. Reading is paused

- while the client does not read its responses,
- while a large backlog is being parsed, and
- after a large read that is discarded, until the next slice.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from yardlane.errors import FatalRequestError
from yardlane.proxy.client_memory import ClientMemory, MemoryHolder
from yardlane.proxy.client_response import Status
from yardlane.proxy.client_state import ClientState
from yardlane.proxy.read_backlog import ReadBacklog
from yardlane.proxy.read_scheduler import DISCARD_COST, REQUEST_COST, SLICE_BYTES, ReadScheduler
from yardlane.proxy.request_parser import RequestParser, RequestReceiver

# A backlog that is being parsed pauses reading from this size on. So the large reads of one iteration of the
# event loop are limited as well.
PAUSE_BACKLOG_BYTES = SLICE_BYTES
# A backlog that waits for the responses to earlier requests is refused beyond this size.
MAX_BACKLOG_BYTES = 262_144
RECENT_COST_DECAY = 2  # divisor, at each check of the timeouts
# Recent work counts less than work that is left, so that a backlog that has been begun is finished first.
RECENT_COST_WEIGHT = 0.5

OPEN = ClientState.OPEN
LAST_REQUEST = ClientState.LAST_REQUEST


class ReaderServer(Protocol):
    """The part of the server's interface that a reader uses."""

    memory: ClientMemory
    read_scheduler: ReadScheduler

    def loop_time_s(self) -> float:
        """Return the time of the event loop's clock in seconds."""


class ReaderConnection(RequestReceiver, MemoryHolder, Protocol):
    """The part of a client connection's interface that its reader uses."""

    state: ClientState
    transport: asyncio.Transport | None
    is_write_buffer_full: bool

    def may_begin_read(self) -> bool:
        """Return whether another read may be parsed: few requests are pending, and responses are read."""

    def on_fatal_request_error(self, error: FatalRequestError) -> None:
        """Called when nothing more can be read; closes the connection with an error response."""

    def on_upgrade_requested(self) -> None:
        """Called when the client asked to change to another protocol; what follows may not be HTTP."""


class ClientReader:
    """The reading side of one client connection."""

    __slots__ = (
        "_connection",
        "_has_unfinished_request",
        "_is_waiting",
        "_server",
        "_waiting_since_s",
        "backlog",
        "parser",
        "read_at_s",
        "recent_cost",
        "request_timeout_started_s",
        "requests_in_read",
    )

    def __init__(self, connection: ReaderConnection, server: ReaderServer) -> None:
        self._connection: ReaderConnection | None = connection
        self._server = server
        self.parser = RequestParser(connection)
        self.backlog = ReadBacklog()
        self.requests_in_read = 0
        self.recent_cost = 0
        self.read_at_s = server.loop_time_s()  # when the bytes that are being parsed were taken up
        self.request_timeout_started_s = self.read_at_s
        self._waiting_since_s = self.read_at_s  # the time since which the backlog has waited
        self._is_waiting = False  # for a slice
        self._has_unfinished_request = False  # `ClientMemory` counts bytes of this connection

    def is_idle(self) -> bool:
        """Return whether nothing of a further request has been read."""
        return not (self.parser.is_in_message or self.backlog)

    def awaits_client(self) -> bool:
        """Return whether a request has been read in part, and its rest has not arrived."""
        if self._connection is None or self.backlog or not self.parser.is_in_message:
            return False
        transport = self._connection.transport
        return transport is None or transport.is_reading()

    def close(self) -> None:
        """Release the parser and the connection. Called when the connection is closed.

        They refer to each other. Without this, only the garbage collector could free them.
        """
        self.parser.close()
        self._connection = None

    # Reading

    def on_data(self, data: bytes) -> None:
        """Called when bytes have been received; discards them if no further request is accepted."""
        connection = self._connection
        if connection is None:
            return
        if connection.state is not OPEN:
            self._discard(connection.transport, len(data))
            return
        if self.backlog.buffered_bytes or not connection.may_begin_read():
            self._defer(connection, data)
            return
        now_s = self._server.loop_time_s()
        scheduler = self._server.read_scheduler
        expected_cost = len(data) + REQUEST_COST
        if not scheduler.admits(expected_cost, now_s):
            self._defer(connection, data)
            return
        self.requests_in_read = 0
        self.read_at_s = now_s
        cost = self._parse(connection, data)
        if cost > expected_cost:  # it contained several requests
            scheduler.spend(cost - expected_cost)

    def _discard(self, transport: asyncio.Transport | None, received_bytes: int) -> None:
        """Pause reading after a large read, so that a client that goes on sending costs a bounded rate."""
        if received_bytes <= SLICE_BYTES or self._is_waiting or transport is None or transport.is_closing():
            return
        transport.pause_reading()
        self._wait_for_slice()

    def _defer(self, connection: ReaderConnection, data: bytes) -> None:
        """Add a read to the backlog, and wait for a slice if it may be parsed."""
        if not self.backlog:
            self._waiting_since_s = self._server.loop_time_s()
        self.backlog.add(data)
        if self.backlog.buffered_bytes > MAX_BACKLOG_BYTES and not self._may_parse(connection):
            connection.on_fatal_request_error(
                FatalRequestError(Status.SERVICE_UNAVAILABLE, "too many requests at once")
            )
            return
        self._count_unfinished_request(connection)
        self.continue_parsing()
        self.update_reading()

    def _may_parse(self, connection: ReaderConnection) -> bool:
        return self.backlog.is_within_read() or connection.may_begin_read()

    def continue_parsing(self) -> None:
        """Wait for a slice if the backlog may be parsed. Called when `may_begin_read` may have changed."""
        connection = self._connection
        if connection is not None and self.backlog and not self._is_waiting and self._may_parse(connection):
            self._wait_for_slice()

    def _wait_for_slice(self) -> None:
        self._is_waiting = True
        self._server.read_scheduler.add(self)

    def slice_priority(self) -> int:
        """Return the work that is left or was done recently, as a cost; the lowest has the next slice."""
        return self.backlog.left_bytes() + int(RECENT_COST_WEIGHT * self.recent_cost)

    def run_slice(self) -> int:
        """Called by the scheduler; parse a part of the backlog, or go on reading bytes to discard."""
        self._is_waiting = False
        connection = self._connection
        if connection is None:
            return 0
        if connection.state is not OPEN:
            self.update_reading()
            return DISCARD_COST
        if not self.backlog or not self._may_parse(connection):
            return 0
        self.read_at_s = self._server.loop_time_s()
        # The client is not slow while its bytes wait here.
        self.request_timeout_started_s += self.read_at_s - self._waiting_since_s
        self._waiting_since_s = self.read_at_s
        if not self.backlog.is_within_read():
            self.requests_in_read = 0
        body_bytes = len(self.parser.body)
        cost = self._parse(connection, self.backlog.take(SLICE_BYTES))
        # A body without small chunks costs next to nothing. If the body has ended, this is not positive.
        cost -= max(0, len(self.parser.body) - body_bytes)
        self.continue_parsing()
        self.update_reading()
        return cost

    def _parse(self, connection: ReaderConnection, data: bytes | memoryview) -> int:
        """Parse received bytes, and return the cost of this."""
        requests_before = self.requests_in_read
        try:
            if not self.parser.feed(data):
                connection.on_upgrade_requested()
        except FatalRequestError as error:
            connection.on_fatal_request_error(error)
        cost = len(data) + REQUEST_COST * (self.requests_in_read - requests_before)
        self.recent_cost += cost
        if self.parser.is_in_message or self._has_unfinished_request:
            self._count_unfinished_request(connection)
        return cost

    def update_reading(self) -> None:
        """Pause or resume reading from the socket."""
        connection = self._connection
        if connection is None or connection.transport is None or connection.transport.is_closing():
            return
        transport = connection.transport
        should_read = self._should_read(connection)
        if should_read is transport.is_reading():
            return
        if should_read:
            # The timeout starts anew: during the pause the proxy did not read, so the client was not slow.
            self.request_timeout_started_s = self._server.loop_time_s()
            transport.resume_reading()
        else:
            transport.pause_reading()

    def _should_read(self, connection: ReaderConnection) -> bool:
        """Return whether to read from the socket.

        After a fatal error and while closing, reading goes on although the client does not read its
        responses, because closing a socket with unread bytes resets the connection.
        """
        state = connection.state
        if connection.is_write_buffer_full and (state is OPEN or state is LAST_REQUEST):
            return False
        return self.backlog.buffered_bytes < PAUSE_BACKLOG_BYTES or not self._may_parse(connection)

    def decay_recent_cost(self) -> None:
        """Called at regular intervals; lets earlier work count less."""
        self.recent_cost //= RECENT_COST_DECAY

    # Memory

    def discard_unfinished_request(self) -> None:
        """Discard what has been read of further requests. Called when no further request is accepted."""
        self.backlog.clear()
        if self.parser.is_in_message:
            self.parser.abandon_message()
        if self._has_unfinished_request and self._connection is not None:
            self._has_unfinished_request = False
            self._server.memory.set_unfinished(self._connection, 0)

    def _count_unfinished_request(self, connection: ReaderConnection) -> None:
        """Count what has been read and not been handled, which may refuse the oldest such request."""
        if connection.state is not OPEN:
            self.discard_unfinished_request()
            return
        memory = self._server.memory
        if self.requests_in_read and not self.backlog:
            memory.set_unfinished(connection, 0)  # the request that was counted is complete
        buffered_bytes = self.backlog.buffered_bytes + self.parser.buffered_bytes()
        self._has_unfinished_request = buffered_bytes > 0
        memory.set_unfinished(connection, buffered_bytes)
