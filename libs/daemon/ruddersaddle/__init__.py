"""The entry host's daemon and the operators' command line."""
