"""Transactions, admission, deadlines and pipes, independent of protocols and sockets."""
