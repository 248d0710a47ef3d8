"""Commands that each run one stand-in."""

import defopt

from ruddersaddle_standins.engine_servers import EngineServer
from ruddersaddle_standins.list_servers import ListServer, WeightServer
from ruddersaddle_standins.log_servers import LogServer
from ruddersaddle_standins.service_servers import ServiceServer
from ruddersaddle_standins.speeds import read_speeds
from ruddersaddle_standins.store_servers import StoreServer


def log(port: int, *, set: list[str] = ()) -> None:  # noqa: A002
    """Run the log.

    :param port: port on loopback
    :param set: speeds as name=value
    """
    LogServer(read_speeds(set)).run(port)


def list_(port: int, *, set: list[str] = ()) -> None:  # noqa: A002
    """Run the host list.

    :param port: port on loopback
    :param set: speeds as name=value
    """
    ListServer(read_speeds(set)).run(port)


def weights(port: int, *, set: list[str] = ()) -> None:  # noqa: A002
    """Run the weight store.

    :param port: port on loopback
    :param set: speeds as name=value
    """
    WeightServer(read_speeds(set)).run(port)


def engine(port: int, *, version: str = "v1", weights: str = "", set: list[str] = ()) -> None:  # noqa: A002
    """Run a model engine.

    :param port: port on loopback
    :param version: initial weight version
    :param weights: address of the weight store
    :param set: speeds as name=value
    """
    EngineServer(read_speeds(set), version, weights).run(port)


def service(port: int, record: str, *, set: list[str] = ()) -> None:  # noqa: A002
    """Run a plain service.

    :param port: port on loopback
    :param record: file to which every run is appended
    :param set: speeds as name=value
    """
    ServiceServer(read_speeds(set), record).run(port)


def store(port: int, *, set: list[str] = ()) -> None:  # noqa: A002
    """Run a store host.

    :param port: port on loopback
    :param set: speeds as name=value
    """
    StoreServer(read_speeds(set)).run(port)


COMMANDS = {
    "log": log,
    "list": list_,
    "weights": weights,
    "engine": engine,
    "service": service,
    "store": store,
}


def run_server() -> None:
    """Run one stand-in until its process is killed."""
    defopt.run(COMMANDS)
