"""Units that the decisions share. All times are whole microseconds of the gateway's own clock."""

SECOND_US = 1_000_000
