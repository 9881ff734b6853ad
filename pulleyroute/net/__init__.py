"""The network side of the dispatcher: the host of the decision module, on sockets."""
