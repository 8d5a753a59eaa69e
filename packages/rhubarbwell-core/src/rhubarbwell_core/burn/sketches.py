"""Text encoding of latency sketches, for reports between processes."""

import base64

from ddsketch import DDSketch
from ddsketch.pb.ddsketch_pb2 import DDSketch as SketchMessage
from ddsketch.pb.proto import DDSketchProto
from google.protobuf.message import DecodeError

__all__ = ["decode_sketch", "encode_sketch"]


def encode_sketch(sketch: DDSketch) -> str:
    """Return the sketch as base64 of its protobuf message.

    >>> sketch = DDSketch(0.02)
    >>> sketch.add(8)
    >>> decode_sketch(encode_sketch(sketch)).count
    1.0
    """
    message = DDSketchProto.to_proto(sketch)
    return base64.b64encode(message.SerializeToString()).decode("ascii")


def decode_sketch(text: str) -> DDSketch:
    """Return the sketch of an encoded text; raise ValueError if it is malformed."""
    message = SketchMessage()
    try:
        message.ParseFromString(base64.b64decode(text, validate=True))
    except (DecodeError, ValueError) as exc:
        raise ValueError(f"malformed sketch: {exc}") from exc
    sketch: DDSketch = DDSketchProto.from_proto(message)
    return sketch
