"""The data plane: edges, shields, stores and object holders."""
