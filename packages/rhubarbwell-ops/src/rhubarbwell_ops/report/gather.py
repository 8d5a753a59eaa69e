"""Gathering of the report from all entry instances that answer."""

import asyncio
from collections.abc import Sequence

import aiohttp
from returns.result import Failure, Result, Success
from rhubarbwell_entry.reports import InstanceReport, decode_report

from rhubarbwell_ops.operators import OperatorClient, open_operators
from rhubarbwell_ops.report.fleet import FleetReport, merge_reports

__all__ = ["gather_report"]

TIMEOUT_S = 3.0
MAX_PARALLEL = 64


async def gather_report(operators: Sequence[str]) -> FleetReport:
    """Merge the reports of the instances at these host:port addresses."""
    limit = asyncio.Semaphore(MAX_PARALLEL)
    async with open_operators(timeout_s=TIMEOUT_S) as client:
        results = await asyncio.gather(
            *(_ask(client, address, limit) for address in operators)
        )
    found = dict(zip(operators, results, strict=True))
    lost = [name for name, got in found.items() if isinstance(got, Failure)]
    reports = [got.unwrap() for got in results if isinstance(got, Success)]
    return merge_reports(reports, unreachable=lost)


async def _ask(
    client: OperatorClient, address: str, limit: asyncio.Semaphore
) -> Result[InstanceReport, str]:
    try:
        async with limit:
            return Success(decode_report(await client.ask(address, "/report")))
    except (aiohttp.ClientError, TimeoutError) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")
    except (KeyError, TypeError, ValueError) as exc:
        return Failure(f"malformed report: {exc!r}")
