//! The order in which waiting batch items are offered, and what a route without capacity holds back.

use quillmount_dataplane::item_queue::{ItemQueue, QueuePass};

/// Items that are due before this time are late.
const LATE_BEFORE: u64 = 100;

fn queue(items: &[(&str, u64, &'static str)]) -> ItemQueue<&'static str> {
    let mut queue = ItemQueue::default();
    for (route, due_at, item) in items {
        queue.push(route, *due_at, *item);
    }
    queue
}

/// Plays one pass in which only items of the routes in `with_capacity` are placed; returns them in order.
fn place(queue: &mut ItemQueue<&'static str>, with_capacity: &[&str]) -> Vec<&'static str> {
    let mut pass = QueuePass::default();
    let mut placed = Vec::new();
    while let Some(queued) = queue.next(&pass, LATE_BEFORE) {
        let route = queued.item.split('-').next().unwrap();
        if with_capacity.contains(&route) {
            placed.push(queued.item);
        } else {
            pass.skip_route_of(&queued);
            queue.restore(queued);
        }
    }
    placed
}

#[test]
fn items_in_time_come_before_late_ones_each_by_due_time() {
    let mut queue = queue(&[("a", 300, "a-3"), ("b", 50, "b-1"), ("b", 200, "b-2"), ("a", 20, "a-0")]);
    assert_eq!(place(&mut queue, &["a", "b"]), ["b-2", "a-3", "a-0", "b-1"]);
    assert!(queue.is_empty());
}

#[test]
fn items_with_the_same_due_time_keep_their_order() {
    let mut queue = queue(&[("a", 200, "a-1"), ("b", 200, "b-2"), ("a", 200, "a-3")]);
    assert_eq!(place(&mut queue, &["a", "b"]), ["a-1", "b-2", "a-3"]);
}

// Guards against review case 6: late items of a service without endpoints held back those of every other service.
#[test]
fn a_route_without_capacity_holds_back_no_other_route() {
    let mut queue = queue(&[
        ("lost", 10, "lost-1"),
        ("well", 20, "well-1"),
        ("lost", 150, "lost-2"),
        ("well", 160, "well-2"),
    ]);
    assert_eq!(place(&mut queue, &["well"]), ["well-2", "well-1"]);
    let waiting: Vec<_> = queue.waiting_routes().map(|route| (route.name, route.items)).collect();
    assert_eq!(waiting, [("lost", 2)]);
}

#[test]
fn an_item_that_is_put_back_keeps_its_position() {
    let mut queue = queue(&[("a", 200, "a-1"), ("a", 200, "a-2")]);
    assert!(place(&mut queue, &[]).is_empty());
    assert_eq!(place(&mut queue, &["a"]), ["a-1", "a-2"]);
}

// The oldest items are the first to be given up, even while newer ones that are still in time wait before them.
#[test]
fn the_oldest_item_of_a_route_is_found_behind_items_in_time() {
    let mut queue = queue(&[("a", 200, "a-new"), ("a", 10, "a-old"), ("b", 5, "b-old")]);
    assert_eq!(queue.take_oldest("a").map(|queued| queued.item), Some("a-old"));
    assert_eq!(queue.take_oldest("c").map(|queued| queued.item), None);
}
