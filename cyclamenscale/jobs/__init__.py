"""Jobs of tasks on workers: acceptance, placement, recovery, machines."""
