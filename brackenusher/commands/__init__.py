"""The fleet's command line: starts roles and runs the operator's commands, which use the HTTP API only."""
