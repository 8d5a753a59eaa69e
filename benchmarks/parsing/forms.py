"""Forms of answers and requests that hold many places where a message may end."""

from collections.abc import Mapping
from random import Random

__all__ = ["ANSWER_FORMS", "READ_BYTES", "REQUEST_FORMS"]

READ_BYTES = 256 << 10
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UPLOAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED_UPLOAD = UPLOAD + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
LINE_END = b"\r\n"
TEXT = b"a" * 38 + b"\r\n\r\n"
PLAIN_TEXT = b"a" * 40 + b"\r\n"
RANDOM_SEED = 1


def _filled(start: bytes, block: bytes) -> bytes:
    """Return one read that repeats a block behind a start."""
    return (start + block * (READ_BYTES // len(block) + 1))[:READ_BYTES]


def _chunk(body: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(body), body)


def _chunks(start: bytes, text: bytes, size: int) -> bytes:
    body = (text * (size // len(text) + 1))[:size]
    return _filled(start, _chunk(body))


ANSWER_FORMS: Mapping[str, bytes] = {
    "chunked, line ends for ever": _filled(CHUNKED, LINE_END),
    "one chunk of line ends": _chunks(CHUNKED, LINE_END, READ_BYTES),
    "line ends before the head": _filled(b"", LINE_END),
    "chunks of a line end": _chunks(CHUNKED, LINE_END, 2),
    "one chunk of last chunks": _chunks(CHUNKED, LAST_CHUNK, READ_BYTES),
    "status 100 again and again": _filled(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "status 103 with a field": _filled(b"", b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n"),
    "blank lines, chunks of 64 KB": _chunks(CHUNKED, TEXT, 64 << 10),
    "blank lines, chunks of 8 KB": _chunks(CHUNKED, TEXT, 8 << 10),
    "plain text, chunks of 8 KB": _chunks(CHUNKED, PLAIN_TEXT, 8 << 10),
    "one-byte chunks": _chunks(CHUNKED, b"a", 1),
    "trailers": _filled(CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "with a length": _filled(HEAD + b"Content-Length: 9000000\r\n\r\n", TEXT),
    "without a length": _filled(HEAD + b"\r\n", TEXT),
    "random bytes": Random(RANDOM_SEED).randbytes(READ_BYTES),
}
REQUEST_FORMS: Mapping[str, bytes] = {
    "chunked, line ends for ever": _filled(CHUNKED_UPLOAD, LINE_END),
    "one chunk of line ends": _chunks(CHUNKED_UPLOAD, LINE_END, READ_BYTES),
    "line ends before the head": _filled(b"", LINE_END),
    "chunks of a line end": _chunks(CHUNKED_UPLOAD, LINE_END, 2),
    "blank lines, chunks of 8 KB": _chunks(CHUNKED_UPLOAD, TEXT, 8 << 10),
    "one-byte chunks": _chunks(CHUNKED_UPLOAD, b"a", 1),
    "pipelined requests": _filled(b"", b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"),
    "with a length": _filled(UPLOAD + b"Content-Length: 9000000\r\n\r\n", TEXT),
}
