"""Generated code of the messages between nodes; `make proto` renews it."""
