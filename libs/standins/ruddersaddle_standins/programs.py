"""Entry point: stand-in servers run on green threads, tools on native ones."""

import sys

import ruddersaddle_base  # noqa: F401  (suppresses a notice that the next import would print)

SERVERS = ("log", "list", "weights", "engine", "service", "store")


def main() -> None:
    """Run one command."""
    if len(sys.argv) > 1 and sys.argv[1] in SERVERS:
        import eventlet

        eventlet.monkey_patch()
        from ruddersaddle_standins.server_commands import run_server as run
    else:
        from ruddersaddle_standins.tool_commands import run_tool as run
    run()


if __name__ == "__main__":
    main()
