"""Requests with bodies of any coding and framing, written as bytes."""

import asyncio
import gzip
import zlib
from collections.abc import Iterator
from itertools import product
from random import Random
from typing import NamedTuple

__all__ = ["BodyCase", "body_cases", "send_body"]

CODINGS = (None, "identity", "gzip", "deflate", "br", "zstd", "x-own", "gzip, br")
FRAMINGS = ("length", "chunked", "trailers")
WAIT_S = 10.0


class BodyCase(NamedTuple):
    """Hold a request body, the coding that it claims and how it is framed."""

    coding: str | None
    framing: str
    expects_continue: bool
    body: bytes

    @property
    def fields(self) -> str:
        """Return the header fields that describe the body."""
        lines = [] if self.coding is None else [f"Content-Encoding: {self.coding}"]
        if self.framing == "length":
            lines.append(f"Content-Length: {len(self.body)}")
        else:
            lines.append("Transfer-Encoding: chunked")
        if self.framing == "trailers":
            lines.append("Trailer: X-Checksum")
        if self.expects_continue:
            lines.append("Expect: 100-continue")
        return "".join(f"{line}\r\n" for line in lines)

    def encode(self) -> bytes:
        """Return the body as it is sent."""
        if self.framing == "length":
            return self.body
        pieces = [self.body[at : at + 7_000] for at in range(0, len(self.body), 7_000)]
        chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
        trailers = b"X-Checksum: 1\r\n" if self.framing == "trailers" else b""
        return b"".join(chunks) + b"0\r\n" + trailers + b"\r\n"


def body_cases(seed: int) -> Iterator[BodyCase]:
    """Yield every coding with every framing and with bodies that fit it or do not."""
    rng = Random(seed)
    plain = b"course booking " * 400
    for coding, framing, expects in product(CODINGS, FRAMINGS, (False, True)):
        bodies = (
            b"",
            gzip.compress(plain),
            zlib.compress(plain),
            rng.randbytes(40_000),
        )
        for body in bodies:
            yield BodyCase(coding, framing, expects, body)


async def send_body(address, head: str, case: BodyCase) -> tuple[int, bytes]:
    """Send a request with the case's body; return the status and the answer's body.

    head is the request line and further header fields, each with its end of line.
    """
    async with asyncio.timeout(WAIT_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"{head}{case.fields}Connection: close\r\n\r\n".encode())
            if case.expects_continue and case.encode():
                line = await reader.readuntil(b"\r\n\r\n")
                if b" 100 " not in line.partition(b"\r\n")[0]:
                    return int(line.split()[1]), b""
            writer.write(case.encode())
            answer = await reader.read()
        finally:
            writer.close()
    head_bytes, _, body = answer.partition(b"\r\n\r\n")
    if b" 100 " in head_bytes.partition(b"\r\n")[0]:
        head_bytes, _, body = body.partition(b"\r\n\r\n")
    return int(head_bytes.split()[1]), body
