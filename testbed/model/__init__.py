"""What lies round a proxy, as a model that is told the time: no clock, no socket."""
