//! The load of an upstream as its agent sees it.

use cassiacross::{clock::Millis, load::Load};
use yare::parameterized;

/// A load that has seen requests of one length.
fn seen(slots: u32, took: u64) -> Load {
    let mut load = Load::new(slots);
    for _ in 0..100 {
        load.begin();
        load.complete(Some(Millis(took)));
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
    assert_eq!(load.has_free_slot(expected), room);
}

#[test]
fn wait_grows_with_the_queue() {
    let mut load = seen(2, 50);
    let idle = load.expected_wait(0);
    load.begin();
    load.begin();
    assert!(load.expected_wait(0) > idle);
    assert!(load.expected_wait(2) > load.expected_wait(0));
}

#[test]
fn faster_upstream_states_more_capacity() {
    let (mut fast, mut slow) = (seen(4, 20), seen(4, 60));
    assert!(fast.capacity_step() > slow.capacity_step());
}

#[test]
fn requests_that_waited_do_not_count_as_slow() {
    let mut load = seen(4, 20);
    let before = load.mean_time();
    load.begin();
    load.complete(None);
    assert_eq!(load.mean_time(), before);
}

#[test]
fn stated_capacity_ignores_small_changes() {
    let mut load = seen(4, 50);
    let before = load.capacity_step();
    for _ in 0..100 {
        load.begin();
        load.complete(Some(Millis(52)));
    }
    assert_eq!(load.capacity_step(), before);
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
