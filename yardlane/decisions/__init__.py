"""The decisions of one gateway. The modules of this package do no I/O and read no clock."""
