"""Test the digest chain and the text forms of the log."""

import pytest
from rhubarbwell_core.adoption import (
    EMPTY_CHAIN,
    InvalidLogError,
    LogHead,
    LogRow,
    LogSnapshot,
    chain_digest,
    decode_head,
    decode_log_row,
    decode_snapshot,
    encode_head,
    encode_log_row,
    encode_snapshot,
    verify_rows,
)


def make_rows(count):
    rows, chain = [], EMPTY_CHAIN
    for version in range(1, count + 1):
        row = LogRow(version, "deployment", f"d{version}", chain, "p", "ana", 5)
        chain = chain_digest(row)
        rows.append(row)
    return rows, chain


def test_verify_rows_returns_the_chain_of_the_last_row():
    rows, chain = make_rows(4)
    assert verify_rows(rows, version=0, chain=EMPTY_CHAIN) == chain
    assert verify_rows(rows[2:], version=2, chain=chain_digest(rows[1])) == chain


@pytest.mark.parametrize("fault", ["gap", "author", "digest", "order"])
def test_rows_that_do_not_follow_are_refused(fault):
    rows, _ = make_rows(4)
    if fault == "gap":
        del rows[1]
    elif fault == "order":
        rows[1], rows[2] = rows[2], rows[1]
    else:
        rows[1] = rows[1]._replace(**{fault: "other"})
    with pytest.raises(InvalidLogError):
        verify_rows(rows, version=0, chain=EMPTY_CHAIN)


def test_encoded_values_decode_to_equal_values():
    row = make_rows(1)[0][0]
    head = LogHead(7, "c", 5)
    snapshot = LogSnapshot(5, "c", {"deployment": "{}"})
    assert decode_log_row(encode_log_row(row)) == row
    assert decode_head(encode_head(head)) == head
    assert decode_snapshot(encode_snapshot(snapshot)) == snapshot


@pytest.mark.parametrize(
    "text", ["", "[]", "3", "{}", '{"version":"1","chain":"","documents":{}}']
)
@pytest.mark.parametrize("decode", [decode_log_row, decode_head, decode_snapshot])
def test_invalid_texts_are_refused(decode, text):
    with pytest.raises(InvalidLogError):
        decode(text)
