"""JSON-line logs with a fixed prefix for each component."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from ruddersaddle_base.bounded_outputs import BoundedHandler, BoundedStream

STANDARD_ERROR = 2
FIELDS = "%(asctime)s %(levelname)s %(message)s"
PART_BY_MODULE_ENDING = {
    "gateways": "gateway",
    "commands": "command",
    "daemons": "daemon",
    "peers": "peer",
    "followers": "log",
    "appenders": "log",
    "engines": "engine",
    "services": "service",
    "stores": "store",
    "fronts": "front",
    "forwarders": "forward",
    "entry_hosts": "host",
    "standstills": "host",
    "publications": "configuration",
    "upstream_lists": "upstreams",
    "store_followers": "store",
    "fence_leases": "lease",
    "weight_notices": "weights",
    "weight_rollouts": "weights",
    "cached_parts": "kept",
    "neighbours": "peer",
    "hosts": "peer",
    "load_shares": "peer",
    "links": "link",
    "context_stores": "kept",
    "part_relays": "kept",
    "metadata_stores": "store",
    "order_books": "rollout",
    "records": "rollout",
    "exchanges": "rollout",
    "pool_plans": "rollout",
    "coordinators": "rollout",
    "participants": "rollout",
    "residency": "residency",
    "restricted_parts": "kept",
}
"""Prefix of a module's log lines; a module that is not listed uses its own name."""


class PrefixFilter(logging.Filter):
    """Prepends the component's prefix to each message and adds the host field."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self.host = host

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the prefix and the host; no record is filtered out."""
        module = record.name.rpartition(".")[2]
        part = PART_BY_MODULE_ENDING.get(module, module)
        record.msg = f"{part}: {record.msg}"
        record.host = self.host
        return True


def start_logging(level: str, host: str, handler: logging.Handler | None = None) -> None:
    """Write all logs of the process as JSON lines, to standard error if no handler is given.

    From here on no write to standard error blocks on its reader.
    """
    sys.stderr = BoundedStream(STANDARD_ERROR)
    handler = handler or BoundedHandler(STANDARD_ERROR)
    renames = {"asctime": "time", "levelname": "level", "message": "text"}
    handler.setFormatter(JsonFormatter(FIELDS, rename_fields=renames))
    handler.addFilter(PrefixFilter(host))
    if isinstance(handler, BoundedHandler):
        handler.host = host
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def count_dropped() -> dict[str, int]:
    """Return the counts of log lines and of other standard error writes dropped since the start."""
    handlers = [each for each in logging.getLogger().handlers if isinstance(each, BoundedHandler)]
    lines = sum(each.dropped_total for each in handlers)
    texts = sys.stderr.dropped_total if isinstance(sys.stderr, BoundedStream) else 0
    return {"lines": lines, "texts": texts}
