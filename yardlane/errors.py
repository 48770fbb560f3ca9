"""The typed errors of this package."""


class YardlaneError(Exception):
    """The base of all errors that this package raises itself; the text says what is wrong and where."""

    def one_line(self) -> str:
        """The text without line breaks, which a value that it quotes may bring in."""
        return " ".join(str(self).split())


class SettingsError(YardlaneError):
    """Settings that cannot be read, or hold a value that cannot be."""


class ConfigError(YardlaneError):
    """A configuration that cannot be used; the text says where and why."""


class CodecError(YardlaneError):
    """Input that does not follow the simulator's wire."""


class MalformedResponse(YardlaneError):
    """An upstream's bytes are no HTTP response, or one that exceeds a limit; the fault is the upstream's."""


class ClientProtocolError(YardlaneError):
    """A client broke the protocol; the fault is the client's. `status` and `text` make up its response.

    `header_lines` holds whole header lines for that response, each with its line end.
    """

    def __init__(self, status: int, text: str, header_lines: bytes = b"") -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.header_lines = header_lines


class InvalidRequest(ClientProtocolError):
    """A well-framed request that is not accepted (400, 405 or 409). Its connection stays usable."""


class FatalRequestError(ClientProtocolError):
    """Bytes that are not HTTP, break a limit or come too slowly. The connection ends after the response."""


class DiscoveryError(YardlaneError):
    """A poll of discovery that brought no endpoint list, though the connection held."""


class DiscoveryUnreachable(YardlaneError):
    """No connection to discovery came up, or it ended or timed out before the response was whole.

    It says nothing about the list: the version that we have still holds.
    """


class MalformedEndpointList(DiscoveryError):
    """A response that cannot be read as an endpoint list, or does not follow the one before."""


class MalformedEndpoint(YardlaneError):
    """One entry of an endpoint list, or a value in it, that cannot be read."""


class MalformedCounterReply(YardlaneError):
    """A line of the counter that does not answer the call whose turn it is."""

    def __init__(self, line: bytes) -> None:
        super().__init__(f"malformed reply {line!r}")
