"""Commands of the tools: the demo, and what later modules measure."""

import sys

import defopt

from ruddersaddle_standins.demos import run_demo


def demo(*, topology: str = "akureyri") -> None:
    """Show a returning prompt served end to end by separate processes.

    :param topology: akureyri or casablanca
    """
    sys.exit(0 if run_demo(topology) else 1)


COMMANDS = {"demo": demo}


def run_tool() -> None:
    """Run one command."""
    defopt.run(COMMANDS)
