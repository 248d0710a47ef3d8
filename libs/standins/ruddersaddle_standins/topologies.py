"""Loads the topologies of the deployments from INI files of this package."""

import configparser
from importlib import resources

from ruddersaddle_base.settings import suggest

from ruddersaddle_standins.fleets import Topology

FOLDER = "deployments"
NAMES = ("akureyri", "casablanca")


def load_topology(name: str) -> Topology:
    """Return the topology of a deployment; `ValueError` for an unknown name."""
    if name not in NAMES:
        raise ValueError(f"topology {name}: expected {suggest(name, NAMES)}")
    parser = configparser.ConfigParser()
    folder = resources.files("ruddersaddle_standins") / FOLDER
    parser.read_string((folder / f"{name}.ini").read_text())
    fleet = parser["fleet"]
    return Topology(
        halls=tuple(fleet["halls"].split()),
        hosts=fleet.getint("hosts"),
        engines=fleet.getint("engines"),
        services=fleet.getint("services"),
        stores=fleet.getint("stores"),
        workspaces=tuple(fleet["workspaces"].split()),
        service_prefix=fleet["service_prefix"],
        settings=dict(parser["settings"]) if "settings" in parser else {},
        speeds=dict(parser["speeds"]) if "speeds" in parser else {},
    )
