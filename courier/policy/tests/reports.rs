//! Load reports: answers that report their destination's limit, where the endpoint list has no rates.

mod common;
use common::*;
use quillmount_policy::*;

/// One of many senders. Its endpoint list has no rates, and answers report the limit as their second value.
fn world_of_sender() -> World {
    let mut set = settings(8);
    (set.sender_count, set.sender_index, set.overload_span, set.overload_multiple) = (300, 7, 2 * SEC, 2.5);
    (set.slow_start_share, set.slow_start, set.weight_is_rate, set.weight_is_approximate) =
        (0.2, 10 * SEC, false, false);
    set.limit_report = Some(LimitReportFields { left: 0, rate: 1 });
    let mut world = World::new(set, 7);
    world.list(ListUpdate::Full, &[entry(0, 5), entry(1, 5)]);
    world
}

/// Returns how many of twenty messages, one each half second, are rejected on submission after a call was refused by
/// a destination whose answers carry this report.
fn rejected_on_submission(report: &[f64]) -> usize {
    let mut world = world_of_sender();
    let first = world.submit(0, 5);
    world.pass(SEC / 10);
    world.finish_reporting(first, Outcome::Ok, report);
    let refused = world.submit(0, 5);
    world.pass(SEC / 10);
    world.finish_reporting(refused, Outcome::Full, report);
    let later: Vec<MsgId> = (0..20).map(|_| (world.pass(SEC / 2), world.submit(0, 5)).1).collect();
    let is_rejected = |id: &MsgId| world.sends(*id) == 0 && !world.answers(*id).is_empty();
    later.iter().filter(|id| is_rejected(id)).count()
}

/// A destination without a known rate is assumed to accept one call a second, so that one of 300 senders has no turn
/// there after a refusal. A report shows that the destination accepts more.
#[test]
fn a_reported_limit_is_used_as_the_rate_if_the_list_has_none() {
    assert_eq!(rejected_on_submission(&[0.9, 90.0]), 0);
    assert!(rejected_on_submission(&[]) > 15, "{}", rejected_on_submission(&[]));
}

#[test]
fn a_report_without_a_limit_changes_nothing() {
    assert_eq!(rejected_on_submission(&[0.0, 0.0]), rejected_on_submission(&[]));
}

/// Updates of the endpoint list without rates must not reset a reported rate.
#[test]
fn a_list_without_rates_does_not_change_the_reported_rate() {
    let mut world = world_of_sender();
    let first = world.submit(0, 5);
    world.pass(SEC / 10);
    world.finish_reporting(first, Outcome::Ok, &[0.4, 90.0]);
    world.list(ListUpdate::Delta, &[entry(0, 5), entry(1, 5)]);
    let refused = world.submit(0, 5);
    world.pass(SEC / 10);
    world.finish(refused, Outcome::Full, 0);
    let later = world.submit(0, 5);
    assert!(world.answers(later).is_empty(), "the message waits and is not rejected");
}
