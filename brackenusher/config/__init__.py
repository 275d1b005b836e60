"""Reading and validation of the platform's and the operators' configuration files."""
