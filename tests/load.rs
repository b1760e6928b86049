//! The load of an upstream as its agent sees it.

use cassiacross::{clock::Millis, load::Load};
use yare::parameterized;

/// A load that has seen requests of one length.
fn seen(slots: u32, took: u64) -> Load {
    let mut load = Load::new(slots);
    for _ in 0..100 {
        load.begin();
        load.answer(Some(Millis(took)));
    }
    load
}

#[parameterized(
    idle = { 0, 0, true },
    one_left = { 1, 0, true },
    expected = { 1, 1, false },
    full = { 2, 0, false },
)]
fn room_is_a_slot_that_nothing_is_expected_for(busy: u32, expected: u32, room: bool) {
    let mut load = Load::new(2);
    for _ in 0..busy {
        load.begin();
    }
    assert_eq!(load.has_room(expected), room);
}

#[test]
fn wait_grows_with_the_queue() {
    let mut load = seen(2, 50);
    let idle = load.wait(0);
    load.begin();
    load.begin();
    assert!(load.wait(0) > idle);
    assert!(load.wait(2) > load.wait(0));
}

#[test]
fn faster_upstream_states_more_capacity() {
    let (mut fast, mut slow) = (seen(4, 20), seen(4, 60));
    assert!(fast.step() > slow.step());
}

#[test]
fn requests_that_waited_do_not_count_as_slow() {
    let mut load = seen(4, 20);
    let before = load.mean();
    load.begin();
    load.answer(None);
    assert_eq!(load.mean(), before);
}

#[test]
fn stated_capacity_ignores_small_changes() {
    let mut load = seen(4, 50);
    let before = load.step();
    for _ in 0..100 {
        load.begin();
        load.answer(Some(Millis(52)));
    }
    assert_eq!(load.step(), before);
}

#[test]
fn cancelled_request_frees_its_slot() {
    let mut load = Load::new(1);
    load.begin();
    load.cancel();
    assert_eq!(load.busy(), 0);
    load.cancel();
    assert_eq!(load.busy(), 0);
}
