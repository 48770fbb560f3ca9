"""The watch of the endpoint list: a whole list first, then its changes, for as long as the process runs.

A poll either fetches the whole list or watches: it names the version that we have, and discovery answers as
soon as it has a later one, or with an empty list once the watch's time is over. The next poll follows at
once. A poll that failed is made again after a backoff, which doubles up to a maximum; what we may have
misread, or a version that discovery may not know, leads back to the whole list.
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
# In place of the version of a list: there is none, so the next poll fetches the whole.
NO_VERSION = -1

OnUpdate = Callable[[EndpointListUpdate, Addresses], None]


class DiscoveryClient:
    """Keeps the endpoint list up to date.

    `on_update` gets every update in order; `on_poll_failed` is called after each poll that failed.
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
        """Pass on the list that the configuration brought; an empty one where that cannot be read.

        A configuration without a list (no `known`) is such a case as well, with the same line in the log:
        "cached list ignored: no list of members".
        """
        try:
            decoded = self.decoder.decode(self.cached_list, UpdateKind.CACHED)
        except MalformedEndpointList as error:
            log.warning("cached list ignored: %s", error)
            decoded = DecodedList(EndpointListUpdate(UpdateKind.CACHED, 0, ()), {}, False)
        self.on_update(decoded.update, decoded.addresses)

    def start(self) -> None:
        """Watch, until `stop`."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """End the watch and its connection at once."""
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def change_address(self, address: Address) -> None:
        """Poll another discovery, which counts its own versions; the list stands until it answers."""
        self.stop()
        self.address = address
        self.version = NO_VERSION
        self.start()

    async def _run(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                await self._poll()
            except Exception as error:  # whatever it is: without the watch, all later changes would be missed
                self._handle_poll_failure(error)
                await asyncio.sleep(backoff_s)
                backoff_s = min(self.max_backoff_s, 2 * backoff_s)
            else:
                backoff_s = INITIAL_BACKOFF_S
                self.watch_timeout_ms = WATCH_TIMEOUT_MS

    def _handle_poll_failure(self, error: Exception) -> None:
        is_network_error = isinstance(error, OSError | DiscoveryUnreachable)
        if is_network_error or isinstance(error, DiscoveryError):
            log.warning("discovery: %.200s", error)
        else:
            log.exception("discovery: a poll failed by an error of this program")
        if not is_network_error:
            self.version = NO_VERSION
        if self.connection is not None:
            self.connection.close()
        self.connection = None
        self.watch_timeout_ms = RECOVERY_WATCH_TIMEOUT_MS
        self.on_poll_failed()

    async def _poll(self) -> None:
        """Fetch or watch the list once, and pass on what came."""
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        connection = await self._ensure_connection()
        base_version = self.version
        body = await self._request(connection, base_version)
        decoded = self.decoder.decode(parse_json(body))
        may_poll_at_once = self._apply_list(decoded, base_version)
        # A discovery that answers every watch at once, with nothing new, must not take the processor.
        if not may_poll_at_once and loop.time() < started_at_s + INITIAL_BACKOFF_S:
            await asyncio.sleep(INITIAL_BACKOFF_S)

    async def _ensure_connection(self) -> DiscoveryConnection:
        if self.connection is not None and self.connection.is_usable():
            return self.connection
        connection = DiscoveryConnection(self.address)
        self.connection = connection  # before it is up, so that `stop` can close it
        try:
            async with asyncio.timeout(self.response_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        except TimeoutError:
            raise DiscoveryUnreachable("timed out while connecting") from None
        except ValueError as error:  # a host that cannot be a name
            raise DiscoveryError(f"no address: {error}") from None
        return connection

    async def _request(self, connection: DiscoveryConnection, base_version: int) -> bytearray:
        """Watch for what follows `base_version`, or fetch the whole list where there is none.

        The timeout holds for the response in all: one that drips in must not stretch it.
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
        """Take over a response and pass on its update; whether the next poll may follow at once.

        It may not where the response brought nothing new or is ambiguous.
        """
        update = decoded.update
        is_delta = update.kind is UpdateKind.DELTA
        if is_delta and base_version == NO_VERSION:
            raise MalformedEndpointList("changes to a list that we do not have")
        if update.version < base_version:  # a late response, or discovery lost its state
            raise MalformedEndpointList(f"version {update.version} after {base_version}")
        # The whole list may make it plain. Where that is ambiguous as well, asking again would not help.
        is_ambiguous = is_delta and decoded.is_ambiguous
        self.version = NO_VERSION if is_ambiguous else update.version
        has_content = bool(update.endpoints) or not is_delta
        if has_content:
            self.on_update(update, decoded.addresses)
        return has_content and not is_ambiguous and update.version != base_version
