"""Changes that wait for neighbours, with values that neighbours have."""

from lycheegw.coordination import change_tracker


def _tracker() -> change_tracker.ChangeTracker[int]:
    tracker: change_tracker.ChangeTracker[int] = change_tracker.ChangeTracker(
        100
    )
    for number in range(10):
        tracker.put(f"k{number}", number, "n1" if number < 6 else None)
    return tracker


def test_limit_counts_only_what_a_neighbour_lacks() -> None:
    tracker = _tracker()
    assert tracker.take_unsent("n1", 3) == [6, 7, 8]
    assert tracker.take_unsent("n1", 3) == [9]
    assert tracker.take_unsent("n1", 3) == []


def test_value_known_from_several_neighbours_goes_to_none_of_them() -> None:
    tracker = _tracker()
    tracker.note_known("k0", "n2")
    assert tracker.take_unsent("n2", 100) == list(range(1, 10))
    tracker.put("k0", 20)
    assert tracker.take_unsent("n2", 100) == [20]


def test_neighbour_whose_link_is_new_gets_all_values() -> None:
    """Restart: it has lost what it had told before."""
    tracker = _tracker()
    tracker.take_unsent("n1", 100)
    tracker.forget_sent("n1")
    assert tracker.take_unsent("n1", 100) == list(range(10))
