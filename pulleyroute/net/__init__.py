"""The real dispatcher: the decision module's host on sockets."""
