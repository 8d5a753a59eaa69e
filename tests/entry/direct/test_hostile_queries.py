"""Property test: queries of other instances are decoded or refused."""

from hypothesis import given, settings
from hypothesis import strategies as st
from rhubarbwell_entry.direct.changes import ChangesQuery

FUZZED = settings(max_examples=300, deadline=None, derandomize=True)
NAMES = (
    st.sampled_from(["op", "servers", "-follower", "-busy", "-first", "-era.op"])
    | st.text()
)
VALUES = st.text() | st.sampled_from(["9" * 5_000, "²", "-1", " 3 ", "1_0", "\ud800"])


@FUZZED
@given(fields=st.dictionaries(NAMES, VALUES))
def test_query_is_decoded_or_raises_value_error(fields):
    try:
        query = ChangesQuery.decode(fields)
    except ValueError:
        return
    assert all(
        isinstance(number, int)
        for version in query.known_versions.values()
        for number in version
    )
