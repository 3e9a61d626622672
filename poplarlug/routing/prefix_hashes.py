"""Prompt prefix hashes, computed identically by entries and engines."""

from typing import NamedTuple

import msgspec
import xxhash

BLOCK_TOKENS = 64
BYTES_PER_TOKEN = 4
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
MAX_BLOCKS = 512


class PromptShape(NamedTuple):
    """
    Length and prefix hashes of a prompt.

    Parameters
    ----------
    tokens : int
        Estimated length.
    prefix_hashes : tuple of int
        One hash per complete block, shortest prefix first.
    """

    tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()


class _PromptBody(msgspec.Struct):
    model: str = ""
    messages: msgspec.Raw = msgspec.Raw(b"")
    prompt: msgspec.Raw = msgspec.Raw(b"")


_decoder = msgspec.json.Decoder(_PromptBody)


def shape_of_body(body: bytes) -> PromptShape:
    """Return the shape of the prompt in a JSON body; empty if it can't be parsed."""
    try:
        parsed = _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return PromptShape()
    return shape_of_prompt(parsed.model, bytes(parsed.messages or parsed.prompt))


def shape_of_prompt(model: str, prompt: bytes) -> PromptShape:
    """Return the shape of ``prompt`` for ``model``."""
    hashes = []
    previous = xxhash.xxh3_64_intdigest(model.encode())
    for index in range(min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        previous = xxhash.xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous)
    return PromptShape(len(prompt) // BYTES_PER_TOKEN, tuple(hashes))
