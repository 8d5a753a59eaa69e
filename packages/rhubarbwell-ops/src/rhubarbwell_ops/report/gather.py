"""Fetch the reports of entry instances and merge them."""

import asyncio
from collections.abc import Sequence

import aiohttp
from returns.result import Failure, Result, Success
from rhubarbwell_entry.reports import InstanceReport, decode_report

from rhubarbwell_ops.operators import OperatorClient, open_operator_client
from rhubarbwell_ops.report.fleet import FleetReport, merge_reports

__all__ = ["gather_report"]

REQUEST_TIMEOUT_S = 3.0
MAX_CONCURRENT_REQUESTS = 64


async def gather_report(addresses: Sequence[str]) -> FleetReport:
    """Return the merged report of the instances at these host:port addresses."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    async with open_operator_client(timeout_s=REQUEST_TIMEOUT_S) as client:
        results = await asyncio.gather(
            *(_fetch_report(client, address, semaphore) for address in addresses)
        )
    results_by_address = dict(zip(addresses, results, strict=True))
    unreachable = [
        address
        for address, result in results_by_address.items()
        if isinstance(result, Failure)
    ]
    reports = [result.unwrap() for result in results if isinstance(result, Success)]
    return merge_reports(reports, unreachable=unreachable)


async def _fetch_report(
    client: OperatorClient, address: str, semaphore: asyncio.Semaphore
) -> Result[InstanceReport, str]:
    try:
        async with semaphore:
            return Success(decode_report(await client.get_json(address, "/report")))
    except (aiohttp.ClientError, TimeoutError) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")
    except (KeyError, TypeError, ValueError) as exc:
        return Failure(f"malformed report: {exc!r}")
