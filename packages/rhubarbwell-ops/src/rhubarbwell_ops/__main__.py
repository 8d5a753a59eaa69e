"""Entry point of the operators' command line."""

import sys
from pathlib import Path

import fire
import uvloop
from fire.decorators import SetParseFn
from rhubarbwell_platform import Platform

from rhubarbwell_ops.commands import (
    ConfigurationCommands,
    WhereQuery,
    explain,
    live_operator_addresses,
    report,
    require_non_negative_int,
    run_command,
    split_list,
    where,
)
from rhubarbwell_ops.demo import DemoError, format_demo, run_demo
from rhubarbwell_ops.exits import ExitCode, Report, exit_with
from rhubarbwell_ops.flags import unknown_flag_errors

__all__ = ["Commands", "main"]

DEFAULT_DEMO_FOLDER = "examples/demo"


class Commands(ConfigurationCommands):
    """Operate a rhubarbwell deployment.

    Exit codes: 0 done, 1 findings, 2 usage error, 3 conflict, 4 nothing done,
    5 outcome unknown, 6 published but not in force everywhere.
    """

    def report(
        self,
        platform: str = "",
        instances: str = "",
        plot: str = "",
        json: bool = False,
    ) -> None:
        """Report error budget burn, headroom and drains in progress.

        Args:
            platform: URL of the platform that lists the instances.
            instances: Comma-separated host:port addresses of the instances' operator
                endpoints, used instead of the platform's list.
            plot: Image file to which the burn rates are also plotted.
            json: Print JSON.
        """
        path = Path(plot) if plot else None
        if instances:
            command = report(split_list(instances), plot=path)
            exit_with(uvloop.run(command), as_json=json)

        async def report_listed_instances(client: Platform) -> Report:
            return await report(await live_operator_addresses(client), plot=path)

        run_command(platform, report_listed_instances, as_json=json)

    def explain(self, request_id: str, *logs: str, json: bool = False) -> None:
        """Explain from the instances' logs why a request ended as it did.

        rhubarbwell explain 40ce863150a8bd3d front-*.log

        Args:
            request_id: Id that the caller sent with the request.
            logs: One or more log files of the instances.
            json: Print JSON.
        """
        exit_with(explain(str(request_id), logs), as_json=json)

    def where(
        self,
        method: str,
        url: str,
        instance: str = "",
        key: str = "",
        account: str = "",
        deadline: int | None = None,
        body: int | None = None,
        choices: int | None = None,
        json: bool = False,
    ) -> None:
        """Explain where a request would go now and why, without sending it.

        rhubarbwell where GET http://shop.example/cart --instance 10.0.0.7:9301

        Args:
            method: Method of the request.
            url: URL as callers send it; its authority is the Host header.
            instance: Control address host:port of an instance in direct forwarding.
            key: Object key of the request.
            account: Name of the client account, never its key.
            deadline: Time in ms until the caller's deadline.
            body: Size of the body in bytes.
            choices: Number of servers shown, of candidates and of excluded ones.
            json: Print JSON.
        """
        numbers = {"deadline": deadline, "body": body, "choices": choices}
        for name, value in numbers.items():
            if value is not None:
                require_non_negative_int(name, value)
        if not instance:
            text = "give --instance with the control address of an instance"
            exit_with(Report(ExitCode.USAGE, text), as_json=json)
        query = WhereQuery(method, url, key, account, deadline, body, choices)
        exit_with(uvloop.run(where(query, instance)), as_json=json)

    def demo(self, files: str = DEFAULT_DEMO_FOLDER) -> None:
        """Run a small deployment on this machine for about twenty seconds."""
        try:
            result = uvloop.run(run_demo(Path(files)))
        except DemoError as exc:
            exit_with(Report(ExitCode.FINDINGS, str(exc)), as_json=False)
        print(format_demo(result))


# Otherwise fire parses a key or name such as 1e3 as a number.
SetParseFn(str, "method", "url", "instance", "key", "account")(Commands.where)


def main() -> None:
    """Run the command given on the command line."""
    arguments = sys.argv[1:]
    errors = unknown_flag_errors(Commands, arguments)
    if errors:
        exit_with(Report(ExitCode.USAGE, "\n".join(errors)), as_json=False)
    fire.Fire(Commands, command=arguments, name="rhubarbwell")


if __name__ == "__main__":
    main()
