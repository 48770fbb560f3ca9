"""Keeps the endpoint list up to date by polling discovery for as long as the process runs.

A poll either fetches the complete list or watches for changes (a long poll). A watch request contains the
version of the current list. Discovery answers it as soon as it has a later version, or with an empty delta
when the watch times out. The next poll follows at once.

If a poll fails, the next one follows after a backoff, which doubles with each failure up to a maximum. After
a network error, the next poll uses the same version, because the current list is still valid. If it is a
watch, it waits only `RECOVERY_WATCH_TIMEOUT_MS`. After any other failure, the next poll fetches the complete
list. In that case the last response may have contained a change that was lost, or discovery may have been
restarted and may not know the current version.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from yardlane.config import Address, Config
from yardlane.decisions.events import EndpointListUpdate, UpdateKind
from yardlane.errors import DiscoveryError, DiscoveryUnreachable, MalformedEndpointList
from yardlane.proxy.discovery_connection import DiscoveryConnection
from yardlane.proxy.discovery_timing import (
    INITIAL_BACKOFF_S,
    RECOVERY_WATCH_TIMEOUT_MS,
    WATCH_TIMEOUT_MS,
    max_backoff_s,
    response_timeout_s,
)
from yardlane.proxy.endpoint_decoder import Addresses, DecodedList, EndpointDecoder, parse_json
from yardlane.units import MS_PER_S

log = logging.getLogger("yardlane.proxy.discovery_client")

LIST_PATH = b"/catalog/members"
# The value of `version` while no list version is known. The next poll then fetches the complete list.
NO_VERSION = -1

OnUpdate = Callable[[EndpointListUpdate, Addresses], None]


class DiscoveryClient:
    """Polls discovery and passes on each update of the endpoint list.

    `on_update` is called with each update and the addresses in it, in the order of their arrival.
    `on_poll_failed` is called after each failed poll.
    """

    def __init__(self, config: Config, on_update: OnUpdate, on_poll_failed: Callable[[], None]) -> None:
        self.address = config.discovery
        self.cached_list = config.cached_endpoint_list
        self.on_update = on_update
        self.on_poll_failed = on_poll_failed
        self.decoder = EndpointDecoder(config.zones, config.hardware_kinds)
        self.response_timeout_s = response_timeout_s(config.settings.drain_grace_us)
        self.max_backoff_s = max_backoff_s(config.settings.drain_grace_us)
        self.version = NO_VERSION
        self.watch_timeout_ms = WATCH_TIMEOUT_MS
        self.connection: DiscoveryConnection | None = None
        self.task: asyncio.Task[None] | None = None

    def load_cached_list(self) -> None:
        """Pass on the cached list from the configuration, or an empty list if it is malformed or missing.

        Both cases cause the same warning. If the configuration has no cached list (no `known`), the reason in
        it is "endpoint list must be an object with a list of members".
        """
        try:
            decoded = self.decoder.decode(self.cached_list, UpdateKind.CACHED)
        except MalformedEndpointList as error:
            log.warning("ignoring the cached endpoint list, starting with an empty one: %s", error)
            decoded = DecodedList(EndpointListUpdate(UpdateKind.CACHED, 0, ()), {}, False)
        self.on_update(decoded.update, decoded.addresses)

    def start(self) -> None:
        """Start polling discovery, until `stop` is called."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop polling and close the connection at once."""
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def change_address(self, address: Address) -> None:
        """Poll discovery at another address from now on; the current list stays in use until it responds.

        Each discovery has its own version numbers, so the first poll fetches the complete list.
        """
        self.stop()
        self.address = address
        self.version = NO_VERSION
        self.start()

    async def _run(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                await self._poll()
            except Exception as error:  # any type: if this task ended, all later changes would be missed
                self._handle_poll_failure(error)
                await asyncio.sleep(backoff_s)
                backoff_s = min(self.max_backoff_s, 2 * backoff_s)
            else:
                backoff_s = INITIAL_BACKOFF_S
                self.watch_timeout_ms = WATCH_TIMEOUT_MS

    def _handle_poll_failure(self, error: Exception) -> None:
        is_network_error = isinstance(error, OSError | DiscoveryUnreachable)
        if is_network_error or isinstance(error, DiscoveryError):
            log.warning("poll of discovery failed, trying again: %.200s", error)
        else:
            log.exception("poll of discovery failed because of an internal error, trying again")
        # A network error says nothing about the list, so the current version is still valid.
        if not is_network_error:
            self.version = NO_VERSION
        if self.connection is not None:
            self.connection.close()
        self.connection = None
        self.watch_timeout_ms = RECOVERY_WATCH_TIMEOUT_MS
        self.on_poll_failed()

    async def _poll(self) -> None:
        """Fetch the list or watch for changes once, and pass on the update in the response."""
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        connection = await self._ensure_connection()
        base_version = self.version
        body = await self._request(connection, base_version)
        decoded = self.decoder.decode(parse_json(body))
        may_poll_at_once = self._apply_list(decoded, base_version)
        # If discovery answers every watch at once without anything new, polling without a pause would use up
        # the CPU.
        if not may_poll_at_once and loop.time() < started_at_s + INITIAL_BACKOFF_S:
            await asyncio.sleep(INITIAL_BACKOFF_S)

    async def _ensure_connection(self) -> DiscoveryConnection:
        if self.connection is not None and self.connection.is_usable():
            return self.connection
        connection = DiscoveryConnection(self.address)
        self.connection = connection  # before it is established, so that `stop` can close it
        try:
            async with asyncio.timeout(self.response_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        except TimeoutError:
            raise DiscoveryUnreachable("timed out while connecting") from None
        except ValueError as error:  # the host is not a valid host name
            raise DiscoveryError(f"invalid address of discovery: {error}") from None
        return connection

    async def _request(self, connection: DiscoveryConnection, base_version: int) -> bytearray:
        """Watch for changes since `base_version`, or fetch the complete list if that is `NO_VERSION`.

        Return the body of the response. The timeout applies to the whole response, so a response that arrives
        byte by byte does not extend it. Raises DiscoveryUnreachable if the response times out or the
        connection ends, and DiscoveryError if the response is invalid.
        """
        path = LIST_PATH
        wait_ms = 0
        if base_version != NO_VERSION:
            wait_ms = self.watch_timeout_ms
            path += b"?index=%d&wait=%d" % (base_version, wait_ms)
        try:
            async with asyncio.timeout(self.response_timeout_s + wait_ms / MS_PER_S):
                return await connection.get(path)
        except TimeoutError:
            raise DiscoveryUnreachable("timed out while waiting for a response") from None

    def _apply_list(self, decoded: DecodedList, base_version: int) -> bool:
        """Record the version of a list, pass on its update, and return whether to poll again at once.

        The next poll must wait if the list contains nothing new or is an ambiguous delta. An empty delta is
        not passed on. `base_version` is the version in the request. Raises MalformedEndpointList if the list
        is older than that version, or if it is a delta although the complete list was requested.
        """
        update = decoded.update
        is_delta = update.kind is UpdateKind.DELTA
        if is_delta and base_version == NO_VERSION:
            raise MalformedEndpointList("got a delta in response to a request for the complete list")
        if update.version < base_version:  # a late response, or discovery has lost its state
            raise MalformedEndpointList(
                f"endpoint list has version {update.version}, older than the current version {base_version}"
            )
        # After an ambiguous delta, the next poll fetches the complete list, which may resolve the ambiguity.
        # If the complete list is ambiguous too, fetching it again would not help.
        is_ambiguous = is_delta and decoded.is_ambiguous
        self.version = NO_VERSION if is_ambiguous else update.version
        has_content = bool(update.endpoints) or not is_delta
        if has_content:
            self.on_update(update, decoded.addresses)
        return has_content and not is_ambiguous and update.version != base_version
