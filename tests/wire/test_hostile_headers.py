"""Property test: whatever the headers of an answer hold, they give a report."""

from hypothesis import example, given, settings
from hypothesis import strategies as st
from rhubarbwell_wire.adapter import UsersPlatform
from support.hostile_bytes import hostile_values

FUZZED = settings(max_examples=300, deadline=None, derandomize=True)


@FUZZED
@given(
    headers=st.dictionaries(
        st.sampled_from(
            [
                "X-Rhubarbwell-Server-Load",
                "X-Rhubarbwell-Cold-Remaining",
                "Server-Limit",
                "Server-Leaving",
                "Retry-After",
            ]
        ),
        hostile_values().filter(lambda value: isinstance(value, str))
        | st.binary(max_size=12).map(lambda data: data.decode("utf-8", "replace"))
        | st.sampled_from(["²", "1,²,3", "9" * 5_000, "1,2," + "9" * 5_000]),
    )
)
@example(headers={"X-Rhubarbwell-Server-Load": "1,²,3"})
@example(headers={"X-Rhubarbwell-Cold-Remaining": "9" * 400})
@example(headers={"Retry-After": "9" * 400})
def test_headers_of_an_answer_always_give_a_report(headers):
    UsersPlatform().decode_backend_report(headers)
