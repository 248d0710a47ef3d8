"""Demo: a repeated prompt is served end to end by separate processes."""

from ruddersaddle_base.failures import Failure

from ruddersaddle_standins.clients import Client, PromptResult
from ruddersaddle_standins.engine_servers import answer_text
from ruddersaddle_standins.fleets import VERSION, Fleet
from ruddersaddle_standins.processes import wait_until
from ruddersaddle_standins.topologies import load_topology

PROMPT_WORDS = 2400
ANSWER_TOKENS = 32


def run_demo(name: str) -> bool:
    """Run the demo; return whether the responses were correct and the second one was cheaper."""
    topology = load_topology(name)
    print(
        f"{name}: {topology.hosts} entry hosts, {topology.engines} engines, "
        f"{topology.services} plain services, {topology.stores} store hosts, each a process"
    )
    with Fleet(topology) as fleet:
        return _show(fleet)


def _show(fleet: Fleet) -> bool:
    workspace = fleet.topology.workspaces[0]
    client = Client(workspace)
    prompt = f"tariff and referral sheet of {workspace}: " + "item " * PROMPT_WORDS
    first = client.prompt(fleet.address_by_name["host-1"], prompt, ANSWER_TOKENS)
    _print("first time, through host-1", first)
    wait_until(lambda: _saved_blocks(fleet, "host-1") > 0, "context stored")
    print(f"  context stored: {_saved_blocks(fleet, 'host-1')} blocks on a store host")
    for number in range(1, fleet.topology.engines + 1):
        fleet.http.request("POST", fleet.url(f"engine-{number}", "/drop"))
    wait_until(lambda: _cached_blocks(fleet, "host-2") == 0, "cache events")
    print("  every engine has evicted the context from its cache")
    second = client.prompt(fleet.address_by_name["host-2"], prompt, ANSWER_TOKENS)
    _print("second time, through host-2", second)
    expected = answer_text(prompt, VERSION, ANSWER_TOKENS)
    correct = first.text == second.text == expected and first.complete and second.complete
    is_cheaper = second.recomputed_share < first.recomputed_share
    print(
        f"  both answers complete and correct: {correct}; ratio of first tokens: "
        f"{second.first_ms / first.first_ms:.2f}"
    )
    return correct and is_cheaper


def _saved_blocks(fleet: Fleet, host: str) -> int:
    status = fleet.status(host)
    return 0 if isinstance(status, Failure) else status.counts["contexts_kept_blocks"]


def _cached_blocks(fleet: Fleet, host: str) -> int:
    status = fleet.status(host)
    if isinstance(status, Failure):
        return -1
    return sum(row.cached_blocks for row in status.upstreams)


def _print(title: str, result: PromptResult) -> None:
    print(
        f"{title}: status {result.status}, first token after {result.first_ms:.0f} ms, "
        f"{result.tokens} tokens, recomputed {result.recomputed_share:.1%} of "
        f"{result.usage.prompt_tokens} prompt tokens"
    )
