"""Decisions under load: which upstream, who waits, who is refused, what is tried again."""
