"""Planning of engine roles, without I/O."""
