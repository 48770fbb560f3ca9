"""The decisions on the binary wire of a simulator."""
