"""Whole replies of models, put together from a stream's events for callers who don't stream."""

import msgspec
from ruddersaddle_base.codecs import decode_json
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_upstreams.engines import EVENT_END

DATA_PREFIX = b"data: "
ENGINE = "engine"


class Delta(msgspec.Struct, frozen=True):
    """The part of a chat's message that one event adds."""

    content: str = ""


class EventChoice(msgspec.Struct):
    """What one event adds: text for a completion, a delta for a chat."""

    text: str = ""
    delta: Delta = Delta()
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Tokens of a whole answer; cached ones were not computed again."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class TokenEvent(msgspec.Struct):
    """One event of a stream."""

    id: str
    token: int
    choices: list[EventChoice]
    usage: Usage | None = None


class ChatMessage(msgspec.Struct):
    """The assistant's whole message."""

    content: str
    role: str = "assistant"


class CompletionChoice(msgspec.Struct):
    """A completion's whole text."""

    text: str
    finish_reason: str | None
    index: int = 0


class ChatChoice(msgspec.Struct):
    """A chat's whole message."""

    message: ChatMessage
    finish_reason: str | None
    index: int = 0


class ReplyBody(msgspec.Struct):
    """A whole answer in the models' protocol."""

    id: str
    object: str
    model: str
    choices: list[CompletionChoice] | list[ChatChoice]
    usage: Usage


class CompleteReply(msgspec.Struct):
    """A whole answer, ready to send."""

    body: ReplyBody


def read_events(data: bytes) -> list[TokenEvent] | Failure:
    """Return the typed events of a stream's bytes."""
    events = []
    for frame in data.split(EVENT_END):
        if not frame:
            continue
        event = decode_json(frame.removeprefix(DATA_PREFIX), TokenEvent, Step.READ, ENGINE)
        if isinstance(event, Failure):
            return event
        events.append(event)
    return events


def join_events(data: bytes, request: str, model: str, chat: bool) -> CompleteReply | Failure:
    """Return the whole answer that a stream's events make up."""
    events = read_events(data)
    if isinstance(events, Failure):
        return events
    usage = Usage()
    reason = None
    texts = []
    for event in events:
        usage = event.usage or usage
        for choice in event.choices:
            texts.append(choice.delta.content if chat else choice.text)
            reason = choice.finish_reason or reason
    text = "".join(texts)
    if chat:
        choices = [ChatChoice(ChatMessage(text), reason)]
        return CompleteReply(ReplyBody(request, "chat.completion", model, choices, usage))
    choices = [CompletionChoice(text, reason)]
    return CompleteReply(ReplyBody(request, "text_completion", model, choices, usage))
