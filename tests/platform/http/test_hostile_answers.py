"""Property test: a call returns a value or raises an error of the platform."""

import asyncio
import json
from contextlib import asynccontextmanager
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st
from rhubarbwell_platform.errors import PlatformError
from rhubarbwell_platform.http import (
    CallKind,
    ClientOptions,
    PlatformClient,
    RateLimits,
)
from support.hostile_bytes import hostile_documents

FUZZED = settings(max_examples=300, deadline=None, derandomize=True)
OPTIONS = ClientOptions(max_tries=1, failures_to_open=1_000_000)
ANSWER = {"rows": [], "rowVersion": 3, "key": "k"}


class StubResponse:
    def __init__(self, status, data):
        self.status = status
        self.headers = {}
        self._data = data

    async def json(self):
        return json.loads(self._data)


class StubSession:
    def __init__(self, status, data):
        self._response = StubResponse(status, data)

    @asynccontextmanager
    async def request(self, *args, **kwargs):
        yield self._response


# A nested answer of the store ended the task that had called it.
@FUZZED
@given(
    status=st.sampled_from([200, 400, 404, 409, 410, 412, 418, 429, 500, 503]),
    kind=st.sampled_from(list(CallKind)),
    data=hostile_documents(ANSWER),
)
@example(status=200, kind=CallKind.READ, data=b"[" * 2_000)
@example(status=404, kind=CallKind.READ, data=b"[]")
@example(status=412, kind=CallKind.WRITE, data=b"null")
def test_call_returns_a_value_or_raises_an_error_of_the_platform(status, kind, data):
    async def call():
        client = PlatformClient(
            StubSession(status, data),
            "http://h",
            Random(1),
            options=OPTIONS,
            limits=RateLimits(OPTIONS),
        )
        await client.call(kind, "GET", "/x", None)

    try:
        asyncio.run(call())
    except PlatformError:
        return
