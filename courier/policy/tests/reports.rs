//! Answers that report their destination's limit, where the endpoint list has no rate.

mod common;
use common::*;
use quillmount_policy::*;

/// One of many senders, whose endpoint list has no rates and whose answers report the limit as their second value.
fn sender() -> World {
    let mut set = settings(8);
    (set.sender_count, set.sender_index, set.overload_span, set.overload_multiple) = (300, 7, 2 * SEC, 2.5);
    (set.slow_start_share, set.slow_start, set.weight_is_rate, set.weight_is_approximate) =
        (0.2, 10 * SEC, false, false);
    set.limit_report = Some(LimitReportFields { left: 0, rate: 1 });
    let mut w = World::new(set, 7);
    w.list(ListUpdate::Full, &[entry(0, 5), entry(1, 5)]);
    w
}

/// How many of twenty messages, one in half a second, are rejected on submission, once a call has been refused at
/// a destination whose answers report this.
fn rejected_calls(report: &[f64]) -> usize {
    let mut w = sender();
    let first = w.submit(0, 5);
    w.pass(SEC / 10);
    w.finish_reporting(first, Outcome::Ok, report);
    let refused = w.submit(0, 5);
    w.pass(SEC / 10);
    w.finish_reporting(refused, Outcome::Full, report);
    let later: Vec<MsgId> = (0..20).map(|_| (w.pass(SEC / 2), w.submit(0, 5)).1).collect();
    let at_once = |m: &MsgId| w.sends(*m) == 0 && !w.answers(*m).is_empty();
    later.iter().filter(|m| at_once(m)).count()
}

/// Without a rate a destination is assumed to accept a call a second, and a sender of 300 has no turn there after a
/// refusal; a report shows that it accepts more.
#[test]
fn a_reported_limit_counts_as_the_rate_where_the_list_tells_none() {
    assert_eq!(rejected_calls(&[0.9, 90.0]), 0);
    assert!(rejected_calls(&[]) > 15, "{}", rejected_calls(&[]));
}

#[test]
fn a_report_without_a_limit_changes_nothing() {
    assert_eq!(rejected_calls(&[0.0, 0.0]), rejected_calls(&[]));
}

/// Lists are still processed, and do not change a rate that was reported.
#[test]
fn a_list_without_rates_leaves_the_reported_one() {
    let mut w = sender();
    let first = w.submit(0, 5);
    w.pass(SEC / 10);
    w.finish_reporting(first, Outcome::Ok, &[0.4, 90.0]);
    w.list(ListUpdate::Delta, &[entry(0, 5), entry(1, 5)]);
    let refused = w.submit(0, 5);
    w.pass(SEC / 10);
    w.finish(refused, Outcome::Full, 0);
    let later = w.submit(0, 5);
    assert!(w.answers(later).is_empty(), "it is held, not turned away");
}
