"""One connection to discovery."""

import tracemalloc

from tests.discovery_responses import ENDLESS_HEAD
from yardlane.proxy.discovery_connection import DiscoveryConnection


def test_a_body_in_small_chunks_takes_no_more_than_its_size() -> None:
    """A list arrives in chunks of two bytes. Kept as one object a chunk, it would take some thirty times its
    size, and a large list would fill the memory."""
    connection = DiscoveryConnection(("127.0.0.1", 9))
    chunks = 100_000
    connection.data_received(ENDLESS_HEAD)
    tracemalloc.start()
    try:
        for _ in range(10):
            connection.data_received(b"2\r\nab\r\n" * (chunks // 10))
        assert tracemalloc.get_traced_memory()[1] < 5 * 2 * chunks
    finally:
        tracemalloc.stop()
