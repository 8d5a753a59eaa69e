"""Entry point of the operators' command line."""

import sys
from pathlib import Path

import fire
import uvloop
from rhubarbwell_platform import Platform

from rhubarbwell_ops.commands import (
    ConfigurationCommands,
    explain,
    live_operator_addresses,
    report,
    run_command,
    split_list,
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

    def demo(self, files: str = DEFAULT_DEMO_FOLDER) -> None:
        """Run a small deployment on this machine for about twenty seconds."""
        try:
            result = uvloop.run(run_demo(Path(files)))
        except DemoError as exc:
            exit_with(Report(ExitCode.FINDINGS, str(exc)), as_json=False)
        print(format_demo(result))


def main() -> None:
    """Run the command given on the command line."""
    arguments = sys.argv[1:]
    errors = unknown_flag_errors(Commands, arguments)
    if errors:
        exit_with(Report(ExitCode.USAGE, "\n".join(errors)), as_json=False)
    fire.Fire(Commands, command=arguments, name="rhubarbwell")


if __name__ == "__main__":
    main()
