"""Job subsystem: acceptance, placement, recovery and machine control."""
