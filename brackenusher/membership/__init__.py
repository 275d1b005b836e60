"""Where members come from."""
