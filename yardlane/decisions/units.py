"""Units that the decisions share. All times are whole microseconds of the gateway's own clock.

Most rules only need a clock that never goes back. Two need one that agrees with Unix time, as it also does
at the other gateways (`proxy/clock.py` sets it so when the process starts): the periods of counts
(`counter_polling.py`) and the time slots of slow start (`slow_start.py`). Each says what fails otherwise.
"""

SECOND_US = 1_000_000
NEVER_US = -1  # the time of what has not happened: before all times of a clock
