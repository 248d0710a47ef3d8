"""Complete replies, assembled from a stream's events for callers that don't stream."""

import msgspec
from ruddersaddle_base.codecs import decode_json
from ruddersaddle_base.failures import Failure, Ran, Step
from ruddersaddle_upstreams.engines import EVENT_END

DATA_PREFIX = b"data: "
ENGINE = "engine"


class Delta(msgspec.Struct, frozen=True):
    """The part of a chat message that one event adds."""

    content: str = ""


class EventChoice(msgspec.Struct):
    """The content of one event: text for a completion, a delta for a chat."""

    text: str = ""
    delta: Delta = Delta()
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a complete answer; cached tokens were not recomputed."""

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
    """The assistant's complete message."""

    content: str
    role: str = "assistant"


class CompletionChoice(msgspec.Struct):
    """A completion's complete text."""

    text: str
    finish_reason: str | None
    index: int = 0


class ChatChoice(msgspec.Struct):
    """A chat's complete message."""

    message: ChatMessage
    finish_reason: str | None
    index: int = 0


class ReplyBody(msgspec.Struct):
    """A complete answer in the callers' API."""

    id: str
    object: str
    model: str
    choices: list[CompletionChoice] | list[ChatChoice]
    usage: Usage


class CompleteReply(msgspec.Struct):
    """A complete answer, ready to send."""

    body: ReplyBody


def read_events(data: bytes) -> list[TokenEvent] | Failure:
    """Parse the events of a stream."""
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
    """Return the complete answer that a stream's events add up to."""
    events = read_events(data)
    if isinstance(events, Failure):
        return events.with_ran(Ran.RAN)
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
