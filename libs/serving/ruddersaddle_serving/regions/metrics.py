"""Metrics of the links to other regions; a host of a single region has none of them."""

from ruddersaddle_serving.metric_pages import format_gauges, format_labelled
from ruddersaddle_serving.regions.choosers import LocalFirstChooser
from ruddersaddle_serving.regions.links import LinkStatus
from ruddersaddle_serving.regions.traffic import RegionTraffic


def region_lines(chooser: LocalFirstChooser, traffic: RegionTraffic) -> list[str]:
    """Return the lines of the metrics page on other regions."""
    sent = [
        ({"region": str(each.region), "cause": each.cause.value}, each.count)
        for each in traffic.rows()
    ]
    links = chooser.links
    regions = sorted(links.regions.regions - {links.regions.own})
    known = [links.of_region(each) for each in regions]
    gauges = (
        (
            "regions_silent",
            "other regions that don't answer",
            sum(each.status is LinkStatus.SILENT for each in known),
        ),
        (
            "region_queue_seconds",
            "longest queue of a link to another region",
            max((each.queue_s for each in known), default=0.0),
        ),
        (
            "region_round_trip_seconds",
            "longest round-trip time to another region",
            max((each.round_trip_s for each in known), default=0.0),
        ),
        ("region_crossings", "requests sent to other regions", chooser.crossings),
    )
    lines = format_gauges(gauges)
    return lines + format_labelled("region_sent_bytes", "bytes sent to other regions", sent)
