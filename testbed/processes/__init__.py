"""Several real daemons with faults between them: a relay for their links, deeds, schedules."""
