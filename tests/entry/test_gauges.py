from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.gauges import add_gauges
from rhubarbwell_entry.metrics import InstanceMetrics
from rhubarbwell_entry.peers import PeerKeys, PeerNode

from benchmarks.decisions.deployments import make_core, make_deployment


def render_metrics(core):
    metrics = InstanceMetrics(core.identity)
    driver = CoreDriver(core, clock_ms=lambda: 1_000)
    add_gauges(metrics, driver, PeerNode(driver, PeerKeys([b"k" * 16])))
    text = metrics.render().decode()
    metrics.close()
    return text


async def test_every_gauge_reads_the_state_of_a_core():
    text = render_metrics(make_core(make_deployment(1, 100), seed=1))
    names = {line.split("{")[0] for line in text.splitlines() if line[0] != "#"}
    expected = {
        "rhubarbwell_config_version",
        "rhubarbwell_store_silence_seconds",
        "rhubarbwell_peers",
        "rhubarbwell_attempts",
        "rhubarbwell_slots",
        "rhubarbwell_limit",
        "rhubarbwell_granted_slots",
        "rhubarbwell_granted_link_bytes_per_second",
        "rhubarbwell_slot_held",
        "process_memory_usage_bytes",
    }
    found = {
        prefix for prefix in expected if any(name.startswith(prefix) for name in names)
    }
    assert found == expected


async def test_number_of_series_does_not_grow_with_instances():
    few = render_metrics(make_core(make_deployment(1, 100), seed=1))
    many = render_metrics(make_core(make_deployment(1, 2_900), seed=1))
    assert len(many.splitlines()) == len(few.splitlines())
