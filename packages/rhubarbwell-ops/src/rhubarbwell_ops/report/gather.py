"""Gathering of the report from all entry instances that answer."""

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success
from rhubarbwell_core.burn import (
    BurnReport,
    BurnRow,
    SeriesKey,
    Tally,
    decode_sketch,
    merge_rows,
)
from rhubarbwell_core.model import Reason, rank_from_name

__all__ = ["gather_report", "read_rows"]

TIMEOUT_S = 3.0
MAX_PARALLEL = 64


async def gather_report(operators: Sequence[str]) -> BurnReport:
    """Merge the reports of the instances at these operators' addresses."""
    limit = asyncio.Semaphore(MAX_PARALLEL)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        results = await asyncio.gather(
            *(_ask(session, address, limit) for address in operators)
        )
    found = dict(zip(operators, results, strict=True))
    answered = [name for name, got in found.items() if isinstance(got, Success)]
    lost = [name for name, got in found.items() if isinstance(got, Failure)]
    rows = [row for name in answered for row in found[name].unwrap()]
    return BurnReport(merge_rows(rows), tuple(answered), tuple(lost))


def read_rows(body: Any) -> list[BurnRow]:
    """Read an instance's rows; raise KeyError, TypeError or ValueError."""
    return [_read_row(row) for row in body["rows"]]


async def _ask(
    session: aiohttp.ClientSession, address: str, limit: asyncio.Semaphore
) -> Result[list[BurnRow], str]:
    try:
        async with limit, session.get(f"http://{address}/report") as answer:
            answer.raise_for_status()
            return Success(read_rows(await answer.json()))
    except (aiohttp.ClientError, TimeoutError) as exc:
        return Failure(f"{type(exc).__name__}: {exc}")
    except (KeyError, TypeError, ValueError) as exc:
        return Failure(f"malformed report: {exc!r}")


def _read_row(row: Any) -> BurnRow:
    key = SeriesKey(str(row["service"]), rank_from_name(row["rank"]))
    windows = {int(item["window_ms"]): _read_tally(item) for item in row["windows"]}
    return BurnRow(key, windows, decode_sketch(row["latencies"]))


def _read_tally(item: Any) -> Tally:
    causes = {Reason(name): int(n) for name, n in item["causes"].items()}
    return Tally(
        int(item["total"]), int(item["bad"]), float(item["allowed_bad"]), causes
    )
