"""Tests the encoding of responses to clients."""

from yardlane.proxy.client_response import encode_response, retry_after_line


def test_retry_after_is_rounded_up_to_whole_milliseconds() -> None:
    """A delay that is rounded down would let clients retry too early."""
    assert retry_after_line(0) == b""
    assert retry_after_line(1) == b"Retry-After: 0.001\r\n"
    assert retry_after_line(1_234_001) == b"Retry-After: 1.235\r\n"


def test_response_states_its_length_and_whether_the_connection_closes() -> None:
    """Without Content-Length, a client would wait for more bytes. Without `Connection: close`, it could send
    another request that is never answered."""
    assert encode_response(200, b"done", b"A: b\r\n", False) == (
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: b\r\n\r\ndone"
    )
    assert encode_response(299, b"", b"", True) == (
        b"HTTP/1.1 299 Other\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
