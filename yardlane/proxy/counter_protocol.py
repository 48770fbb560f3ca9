"""The lines of the shared quota counter: the one place that knows them.

tally <key> <amount> <lifetime in ms>  ->  ok <total>     it is added
                                           busy           it is not
                                           error <text>   it is not
ping                                   ->  pong
"""

from __future__ import annotations

import math
import re
from typing import NamedTuple

from yardlane.decisions.actions import AddToCounter
from yardlane.decisions.events import Outcome
from yardlane.errors import MalformedCounterReply
from yardlane.units import US_PER_MS

PING = b"ping\r\n"
# float() takes more than this: 1_0, nan.
TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,3})?")
MAX_LOGGED_BYTES = 80


def format_add(action: AddToCounter) -> bytes:
    """The line of a call, with the amount in nine significant digits."""
    lifetime_ms = max(1, math.ceil(action.lifetime_us / US_PER_MS))
    amount = f"{action.amount:.9g}".encode()
    return b"tally %x %s %d\r\n" % (action.counter_key, amount, lifetime_ms)


class CounterReply(NamedTuple):
    """A line that answers a call. `total` counts only where the outcome is OK."""

    outcome: Outcome
    total: float = 0.0
    is_error: bool = False


def parse_reply(line: bytes) -> CounterReply:
    """The answer to a `tally`. MalformedCounterReply where the line is none."""
    words = line.split()
    if words == [b"busy"]:
        return CounterReply(Outcome.REJECTED)
    if words[:1] == [b"error"]:
        return CounterReply(Outcome.REJECTED, is_error=True)
    if len(words) == 2 and words[0] == b"ok" and TOTAL_PATTERN.fullmatch(words[1]):
        total = float(words[1])
        if math.isfinite(total):
            return CounterReply(Outcome.OK, total)
    raise MalformedCounterReply(line[:MAX_LOGGED_BYTES])


def check_pong(line: bytes) -> None:
    """MalformedCounterReply where the line does not answer a ping."""
    if line.split() != [b"pong"]:
        raise MalformedCounterReply(line[:MAX_LOGGED_BYTES])
