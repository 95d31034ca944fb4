"""Sessions that count as in use: a request in progress, or ended recently."""

from lycheegw.state import recent_sessions


def _recent() -> recent_sessions.RecentSessions:
    recent = recent_sessions.RecentSessions()
    recent.note_sent("m", "long", "v1", 0.0)
    recent.note_sent("m", "short", "v1", 0.0)
    recent.note_ended("m", "short", 1.0)
    recent.note_sent("n", "other", "v1", 2.0)
    recent.note_sent("m", "new", "v2", 2.0)
    return recent


def test_session_is_in_use_as_long_as_a_request_runs() -> None:
    """A stream may last longer than the gap between two requests."""
    recent = _recent()
    recent.prune(50.0)
    assert recent.on_other_versions("m", "v2") == ["long"]
    recent.note_ended("m", "long", 51.0)
    recent.prune(50.0)
    assert recent.on_other_versions("m", "v2") == ["long"]
    recent.prune(52.0)
    assert recent.on_other_versions("m", "v2") == []


def test_sessions_are_told_apart_by_service_and_version() -> None:
    recent = _recent()
    assert recent.on_other_versions("m", "v2") == ["long", "short"]
    assert recent.on_other_versions("m", "v1") == ["new"]
    assert recent.on_other_versions("n", "v2") == ["other"]
