"""What looks on and changes nothing: capture, its replay, figures."""
