"""The decisions of one gateway. Nothing in this package does I/O or reads a clock."""
