from rhubarbwell_core.keys import KeyRecord, KeyState, KeyTable
from rhubarbwell_core.keys.records import MAX_KEPT_BYTES, MAX_RECORDS
from rhubarbwell_core.messages import KeptAnswer


def test_answers_are_bounded_in_bytes_and_records_stay():
    table = KeyTable()
    answer = KeptAnswer(200, body=bytes(MAX_KEPT_BYTES // 4))
    for n in range(6):
        table.put(KeyRecord(f"s{n}", "f", KeyState.ANSWERED, 10))
        table.keep_answer(f"s{n}", answer)
    assert table.kept_bytes <= MAX_KEPT_BYTES
    assert len(table) == 6
    assert table.kept_answer("s0") is None and table.kept_answer("s5") == answer


def test_records_expire_unless_their_run_goes_on():
    table = KeyTable()
    table.put(KeyRecord("ended", "f", KeyState.ANSWERED, 10))
    table.put(KeyRecord("running", "f", KeyState.RUNNING, 10, leader=1))
    table.expire(10)
    assert [record.scope for record in table] == ["running"]


def test_full_table_reports_it_and_evicts_nothing():
    table = KeyTable()
    for n in range(MAX_RECORDS):
        table.put(KeyRecord(f"s{n}", "f", KeyState.UNKNOWN, 10))
    assert table.is_full() and len(table) == MAX_RECORDS
