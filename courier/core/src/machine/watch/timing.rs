//! The time constants of the watch, all in microseconds, and the bound that they guarantee.
//!
//! A list that discovery sends must take effect within [`NOTIFICATION_DEADLINE`] of the last heartbeat, and sending to a
//! draining endpoint must have stopped by then. On the other hand, a fleet whose watches all break at the same time must
//! not overload discovery with its requests.

use quillmount_policy::Micros;

/// The interval at which, by the protocol, discovery sends an empty line on a watch without changes.
pub const HEARTBEAT: Micros = 2_000_000;
/// The tolerated delay of a heartbeat.
pub const HEARTBEAT_SLACK: Micros = 500_000;
/// The time without data after which a watch counts as broken.
pub const SILENCE_TIMEOUT: Micros = HEARTBEAT + HEARTBEAT_SLACK;
/// The time after a change at which, by the protocol, a courier counts as notified, whether it has received the change or
/// not. For a change that a broken watch missed, the time counts from the last data received.
pub const NOTIFICATION_DEADLINE: Micros = 6_000_000;
/// The part of [`NOTIFICATION_DEADLINE`] that is reserved for stopping to send to a draining endpoint: the longest
/// `stop_sending_within_ms` in use.
pub const DRAIN_GRACE_MAX: Micros = 1_000_000;
/// The lower limit of the drain grace period. A shorter one is treated as this value; an agent that does not answer gets
/// about two requests in it.
pub(super) const DRAIN_GRACE_MIN: Micros = 100_000;
/// The maximum time until a request is answered. An agent answers at once unless the machine is loaded.
pub const ANSWER_TIME_MAX: Micros = 1_000_000;
/// The maximum time between two requests, and between the last heartbeat and the next request. A request that is sent this
/// long after discovery has become reachable is answered [`DRAIN_GRACE_MAX`] before the courier counts as notified,
/// whatever happened to earlier requests.
pub const REQUEST_INTERVAL_MAX: Micros = NOTIFICATION_DEADLINE - DRAIN_GRACE_MAX - ANSWER_TIME_MAX;
/// The maximum time over which the requests of a fleet are spread after a timeout, which all couriers may detect at the
/// same time. The last request is answered [`DRAIN_GRACE_MAX`] before the courier counts as notified of the missed
/// changes.
pub(super) const RENEWAL_SPREAD_MAX: Micros =
    NOTIFICATION_DEADLINE - DRAIN_GRACE_MAX - ANSWER_TIME_MAX - SILENCE_TIMEOUT;
/// The lower limit of the first backoff after a failed request.
pub(super) const RETRY_FIRST: Micros = 100_000;
/// The maximum backoff in a small fleet.
pub(super) const RETRY_MAX: Micros = 2_000_000;
/// The time that each courier adds to the spread of the fleet's requests. When 48 couriers sent their requests at the same
/// time every 2 s, discovery was overloaded and answered none of them.
pub(super) const SPREAD_PER_COURIER: Micros = 25_000;
/// The time that each courier adds to the maximum backoff, up to [`REQUEST_INTERVAL_MAX`].
pub(super) const BACKOFF_PER_COURIER: Micros = 300_000;
/// The time that each courier adds to the delay of a hedged request. Hedged requests from 48 couriers every 2 s, or one
/// every 42 ms in total, overloaded discovery.
pub(super) const HEDGE_PER_COURIER: Micros = 50_000;
/// The fraction by which the delay of a hedged request is randomly shortened or extended.
pub(super) const HEDGE_JITTER: f64 = 0.25;
/// The maximum delay of a hedged request before jitter. Extended by a quarter it is [`REQUEST_INTERVAL_MAX`].
pub(super) const HEDGE_DELAY_MAX: Micros = REQUEST_INTERVAL_MAX * 4 / 5;
/// The maximum number of couriers in a fleet whose hedged requests are as frequent as the drain grace period requires,
/// without regard to the load on discovery.
pub(super) const SMALL_FLEET: u32 = 10;

/// Checks the bound: the next answer arrives [`DRAIN_GRACE_MAX`] before [`NOTIFICATION_DEADLINE`], counted from the last
/// heartbeat with the timeout and the spread, from a failed request with the longest backoff, and from an unanswered
/// request with the delay of the hedged one.
const _: () = {
    assert!(SILENCE_TIMEOUT + RENEWAL_SPREAD_MAX <= REQUEST_INTERVAL_MAX);
    assert!(RETRY_MAX <= REQUEST_INTERVAL_MAX && NOTIFICATION_DEADLINE / 3 <= REQUEST_INTERVAL_MAX);
    assert!(HEDGE_DELAY_MAX * 5 / 4 <= REQUEST_INTERVAL_MAX && DRAIN_GRACE_MAX <= REQUEST_INTERVAL_MAX);
    assert!(REQUEST_INTERVAL_MAX + ANSWER_TIME_MAX <= NOTIFICATION_DEADLINE - DRAIN_GRACE_MAX);
};
