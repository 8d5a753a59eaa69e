"""Tests that each background task of an instance goes on after an exception."""

import pytest
from rhubarbwell_core.direct import NO_VERSION, ReaderSelector
from rhubarbwell_core.model import Address
from support.running_fleet import running_fleet, second_instance, wait_until


class Interception:
    """Raise an exception at the first call of a method; count the later ones."""

    def __init__(self, monkeypatch, owner, name):
        self._method = getattr(owner, name)
        self.raised = False
        self.later_calls = 0
        monkeypatch.setattr(owner, name, self)

    def __call__(self, *args, **kwargs):
        if not self.raised:
            self.raised = True
            raise RuntimeError("injected")
        self.later_calls += 1
        return self._method(*args, **kwargs)


def failed_tasks(caplog):
    return {r.task for r in caplog.records if getattr(r, "event", "") == "task_failed"}


# A task that ended with an exception was not noticed, and its work was never done
# again.
@pytest.mark.parametrize(
    ("task", "find_owner", "name"),
    [
        ("timers", lambda instance: instance.balancer, "advance"),
        ("registrar", lambda instance: instance._store, "write"),
        ("follower of servers", lambda instance: instance._store, "read_changes"),
    ],
)
async def test_task_goes_on_after_an_exception(
    task, find_owner, name, monkeypatch, caplog
):
    async with running_fleet(1) as fleet:
        call = Interception(monkeypatch, find_owner(fleet.instance), name)
        await wait_until(lambda: call.raised and call.later_calls >= 2)
        if "follower" not in task:
            assert failed_tasks(caplog) == {task}
        assert len(failed_tasks(caplog)) == 1
        assert fleet.instance.is_ready
        body = fleet.instance.metrics.render().decode()
        assert "rhubarbwell_tasks_failed" in body


@pytest.mark.parametrize("table", ["op", "servers", "instances"])
async def test_table_is_followed_after_an_exception(table, monkeypatch, caplog):
    async with running_fleet(1) as fleet:
        state = fleet.instance.state
        apply_rows = state.apply
        raised = []

        def raise_once(name, *args, **kwargs):
            if name == table and not raised:
                raised.append(name)
                raise RuntimeError("injected")
            apply_rows(name, *args, **kwargs)

        monkeypatch.setattr(state, "apply", raise_once)
        await fleet.store.write(table, "lost-update", b"{}")
        await wait_until(lambda: raised)
        known = state.replicas[table]
        await wait_until(lambda: known.row_version("lost-update") > NO_VERSION)
        assert failed_tasks(caplog) == {f"follower of {table}"}


async def test_peers_are_followed_after_an_exception(monkeypatch, caplog):
    calls = []
    choose = ReaderSelector.choose

    def raise_once(*args, **kwargs):
        calls.append(args)
        if len(calls) == 1:
            raise RuntimeError("injected")
        return choose(*args, **kwargs)

    async with running_fleet(1) as fleet, second_instance(fleet) as other:
        instances = (fleet.instance, other)
        await wait_until(lambda: any(i._upstream.reader for i in instances))
        monkeypatch.setattr(ReaderSelector, "choose", raise_once)
        await wait_until(lambda: len(calls) >= 6)
        assert failed_tasks(caplog) == {"follower of peers"}
        await fleet.store.write("servers", "b-0", None)
        tables = [instance.balancer.backends.rows for instance in instances]
        await wait_until(lambda: not any("b-0" in rows for rows in tables))


async def test_seeds_are_asked_after_an_exception(monkeypatch, caplog):
    seeds = (Address("127.0.0.1", 9),)
    async with running_fleet(0, config=False, seeds=seeds) as fleet:
        await wait_until(
            lambda: fleet.instance.state.replicas["op"].version > NO_VERSION
        )
        call = Interception(monkeypatch, fleet.instance._rng, "uniform")
        await wait_until(lambda: call.raised and call.later_calls >= 2)
        assert failed_tasks(caplog) == {"seeds"}
