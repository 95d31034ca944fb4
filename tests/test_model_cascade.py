"""Choice of models for requests with prompts of very different sizes.

In a burst some prompts are ten times the usual size. The largest model takes
many seconds to prefill them: it would answer none of them in time and delay
the requests that run beside them.
"""

import hypothesis
from hypothesis import strategies

from lycheegw.coordination import model_cascade
from lycheegw.coordination.load import response_times
from lycheegw.state import forwarded_requests
from tests import fakes

MODELS = ("small", "middle", "large")
ROUTE = fakes.STREAM_ROUTE._replace(models=MODELS)
# Factors on the time to the first byte, which has a term per token and a
# quadratic one for attention. The figures are those of the operators' engines.
RELATIVE_TIMES = {"small": 0.3, "large": 3.0}


def _head_s(model: str, tokens: int) -> float:
    return RELATIVE_TIMES[model] * (
        tokens / 64_200 + 0.647e-9 * tokens * tokens + 0.02
    )


def _work(
    tokens: int, last_event: str | None = None
) -> forwarded_requests.ForwardedWork:
    incoming = forwarded_requests.IncomingRequest(
        b"POST", b"/", (), b"", 0.0, True
    )
    traits = forwarded_requests.RequestTraits(
        "r", "h", "/", None, 12.0, "*", True, (), tokens, 100, None, last_event
    )
    return forwarded_requests.ForwardedWork(incoming, traits, ROUTE)


def _learned_times() -> response_times.ResponseTimes:
    times = response_times.ResponseTimes()
    for _ in range(20):
        for tokens in (1000, 3000, 9000, 17000):
            for model, relative_time in RELATIVE_TIMES.items():
                times.note_first_byte(
                    "m", model, tokens, _head_s(model, tokens)
                )
                times.note_rest("m", model, 200, 200 * relative_time * 0.006)
    return times


def _larger_model(
    tokens: int, confidence: float, passed_s: float, answer_tokens: int = 100
) -> str | None:
    times = _learned_times()
    return model_cascade.larger_model(
        _work(tokens),
        "small",
        confidence,
        model_cascade.TimeLeft(
            ROUTE.target_latency_s - passed_s, ROUTE.timeout_s - passed_s
        ),
        lambda model: _duration(times, model, tokens, answer_tokens),
    )


def _duration(
    times: response_times.ResponseTimes,
    model: str,
    tokens: int,
    answer_tokens: int,
) -> model_cascade.AnswerDuration:
    return model_cascade.AnswerDuration(
        times.expected_first_byte_s("m", model, tokens) or 0.0,
        times.expected_rest_s("m", model, answer_tokens),
    )


def test_usual_prompt_goes_to_the_largest_model_if_confidence_is_low() -> None:
    assert _larger_model(9000, 40, 0.3) == "large"
    assert _larger_model(9000, 60, 0.3) is None


def test_long_prompt_keeps_the_answer_of_the_smallest_model() -> None:
    assert _head_s("large", 53_000) > ROUTE.target_latency_s
    assert _larger_model(53_000, 40, 0.6) is None


def test_largest_model_is_not_asked_for_an_answer_too_long_to_finish() -> None:
    """An answer of 600 tokens takes the largest model eleven seconds."""
    assert _larger_model(1000, 20, 0.5, 300) == "large"
    assert _larger_model(1000, 20, 0.5, 600) is None


def test_late_answer_is_asked_for_only_if_confidence_is_very_low() -> None:
    assert _larger_model(17_000, 40, 2.7) is None
    assert _larger_model(17_000, 10, 2.7) == "large"
    assert _larger_model(17_000, 10, 11.5) is None


def test_burst_of_long_prompts_is_answered_in_time() -> None:
    """More answers within the objective than by a cascade without estimates."""
    tokens = [1500, 3000, 9000, 17_000, 40_000, 53_000] * 20
    in_time = plain_in_time = 0
    for size in tokens:
        first_s = _head_s("small", size)
        larger = _larger_model(size, 40, first_s)
        taken_s = first_s + (_head_s(larger, size) if larger else 0.0)
        in_time += taken_s <= ROUTE.target_latency_s
        plain_in_time += (
            first_s + _head_s("large", size) <= ROUTE.target_latency_s
        )
    assert in_time >= 0.95 * len(tokens)
    assert plain_in_time <= 0.7 * len(tokens)


def test_next_attempt_uses_a_model_that_is_in_time() -> None:
    times = _learned_times()

    def model_after(tokens: int, left_s: float) -> str | None:
        return model_cascade.model_after_failure(
            _work(tokens),
            "large",
            model_cascade.TimeLeft(0.0, left_s),
            lambda model: _duration(times, model, tokens, 100),
        )

    assert model_after(9000, 9.0) == "large"
    assert model_after(53_000, 5.0) == "small"


def test_resumed_stream_is_asked_of_the_largest_model() -> None:
    assert model_cascade.first_model(_work(100, "7")) == "large"
    assert model_cascade.first_model(_work(100)) == "small"


@hypothesis.given(
    sizes=strategies.lists(
        strategies.integers(100, 60_000), min_size=1, max_size=8
    ),
    asked=strategies.integers(100, 60_000),
)
def test_expected_time_depends_on_the_prompt_size(
    sizes: list[int], asked: int
) -> None:
    """A few times of any sizes give an estimate within a factor of 3.5."""
    times = response_times.ResponseTimes()
    for size in sizes:
        times.note_first_byte("m", "large", size, _head_s("large", size))
    expected = times.expected_first_byte_s("m", "large", asked)
    assert expected is not None
    nearest = min(sizes, key=lambda size: abs(size - asked))
    if 0.8 < nearest / asked < 1.25:
        assert 0.3 < expected / _head_s("large", asked) < 3.5


def test_attempt_without_an_answer_raises_a_shorter_estimate() -> None:
    times = _learned_times()
    before = times.expected_first_byte_s("m", "large", 17_000)
    assert before is not None
    times.note_head_timeout("m", "large", 17_000, before / 2)
    assert times.expected_first_byte_s("m", "large", 17_000) == before
    times.note_head_timeout("m", "large", 17_000, before * 4)
    after = times.expected_first_byte_s("m", "large", 17_000)
    assert after is not None and after > before


def test_request_that_may_run_once_is_asked_of_one_model() -> None:
    """The route is not resumable: a second model would be a second run."""
    work = _work(1000)
    once = work._replace(route=ROUTE._replace(is_resumable=False))
    assert model_cascade.first_model(once) == "large"
    larger = model_cascade.larger_model(
        once,
        "small",
        5.0,
        model_cascade.TimeLeft(3.0, 12.0),
        lambda _: model_cascade.AnswerDuration(0.1, 0.1),
    )
    assert larger is None


# Load: a burst after quiet times; running means still say that there is time.
def test_larger_model_is_asked_less_often_where_it_would_be_late() -> None:
    def is_asked(confidence: float, outlook: model_cascade.Outlook) -> bool:
        times = _learned_times()
        return bool(
            model_cascade.larger_model(
                _work(9000),
                "small",
                confidence,
                model_cascade.TimeLeft(2.5, 11.0),
                lambda model: _duration(times, model, 9000, 100),
                outlook,
            )
        )

    assert is_asked(49, model_cascade.Outlook(1.0, 0.6))
    assert not is_asked(35, model_cascade.Outlook(0.0, 0.6))
    assert is_asked(29, model_cascade.Outlook(0.0, 0.6))
    # Where callers have no use of a late answer, none is asked for.
    assert not is_asked(1, model_cascade.Outlook(0.0, 0.0))
    # Less urgent routes keep the small model's answer first.
    assert not is_asked(40, model_cascade.Outlook(1.0, 0.6, True))
    assert is_asked(20, model_cascade.Outlook(1.0, 0.6, True))
    # A late answer takes room only while nobody else waits for it.
    assert is_asked(25, model_cascade.Outlook(0.3, 0.6))
    assert not is_asked(25, model_cascade.Outlook(0.3, 0.6, is_crowded=True))
