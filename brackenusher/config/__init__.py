"""The platform's file and the operators' file, checked."""
