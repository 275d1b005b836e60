"""The same world on sockets: the model behind real listeners, an open-loop load, and daemons as processes."""
