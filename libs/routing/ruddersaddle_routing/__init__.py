"""Load-based routing: upstream selection, fair queueing, concurrency limits, retries."""
