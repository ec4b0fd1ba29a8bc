//! The times of the watch, all in microseconds, and the bound that they keep.
//!
//! A list that discovery sends must take effect here within [`NOTIFIED_WITHIN`] of the last heartbeat, and a drain must be
//! heeded before that. At the same time discovery must not be overloaded by a fleet that loses it at once and sends requests again.

use quillmount_policy::Micros;

/// By the protocol a watch without changes sends an empty line at this interval.
pub const HEARTBEAT: Micros = 2_000_000;
/// How late that line may be.
pub const HEARTBEAT_SLACK: Micros = 500_000;
/// A watch that has received no data for this long is broken.
pub const SILENCE: Micros = HEARTBEAT + HEARTBEAT_SLACK;
/// By the protocol a courier counts as notified of a change this long after it, whether the change arrived or not. For a
/// change that a broken watch misses, the time counts from the last data.
pub const NOTIFIED_WITHIN: Micros = 6_000_000;
/// The part of [`NOTIFIED_WITHIN`] that is left for heeding a drain: the longest `stop_sending_within_ms` in use.
pub const HEED_MAX: Micros = 1_000_000;
/// The least time for heeding a drain that is taken into account: an agent that does not answer gets about two requests in it.
pub(super) const HEED_MIN: Micros = 100_000;
/// A request is answered within this. An agent answers at once; a loaded machine takes longer.
pub const ANSWER_WITHIN: Micros = 1_000_000;
/// No two requests are further apart, nor is one from the last heartbeat: whatever happened to those before, a request
/// that is sent this long after discovery can be reached is answered [`HEED_MAX`] before its changes count.
pub const REQUEST_INTERVAL_MAX: Micros = NOTIFIED_WITHIN - HEED_MAX - ANSWER_WITHIN;
/// The requests of a fleet after a time-out, which all couriers may notice at once, are spread over at most this: the last one
/// is answered [`HEED_MAX`] before the missed changes count.
pub(super) const RENEWAL_SPREAD_MAX: Micros = NOTIFIED_WITHIN - HEED_MAX - ANSWER_WITHIN - SILENCE;
/// The first backoff after a failed request.
pub(super) const RETRY_FIRST: Micros = 100_000;
/// The longest backoff in a small fleet.
pub(super) const RETRY_MAX: Micros = 2_000_000;
/// The time that each courier adds to that over which the fleet's requests are spread. Forty-eight couriers that sent a request
/// together every 2 s kept discovery from answering any of them.
pub(super) const SPREAD_PER_COURIER: Micros = 25_000;
/// The time that each courier adds to the longest backoff.
pub(super) const BACKOFF_PER_COURIER: Micros = 300_000;
/// The time that each courier adds to the delay of a hedged request. Forty-eight couriers with one every 2 s each, together one in
/// 42 ms, were too many.
pub(super) const HEDGE_PER_COURIER: Micros = 50_000;
/// The fraction by which that time is randomly shortened or extended.
pub(super) const HEDGE_JITTER: f64 = 0.25;
/// The most that it may be before jitter: extended by a quarter it is [`REQUEST_INTERVAL_MAX`].
pub(super) const HEDGE_DELAY_MAX: Micros = REQUEST_INTERVAL_MAX * 4 / 5;
/// Fleets of at most this size may send hedged requests as often as heeding a drain in time requires.
pub(super) const SMALL_FLEET: u32 = 10;

/// The bound: from the last heartbeat over the time-out and the spread, from a failed request over the longest backoff,
/// and from an unanswered request to the hedged one, the next answer arrives [`HEED_MAX`] before [`NOTIFIED_WITHIN`].
const _: () = {
    assert!(SILENCE + RENEWAL_SPREAD_MAX <= REQUEST_INTERVAL_MAX);
    assert!(RETRY_MAX <= REQUEST_INTERVAL_MAX && NOTIFIED_WITHIN / 3 <= REQUEST_INTERVAL_MAX);
    assert!(HEDGE_DELAY_MAX * 5 / 4 <= REQUEST_INTERVAL_MAX && HEED_MAX <= REQUEST_INTERVAL_MAX);
    assert!(REQUEST_INTERVAL_MAX + ANSWER_WITHIN <= NOTIFIED_WITHIN - HEED_MAX);
};
