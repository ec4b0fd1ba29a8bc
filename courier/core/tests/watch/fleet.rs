//! Helpers for the watches of a fleet: the fleet sizes, a watch that received data, and the times of requests.

use quillmount_core::machine::watch::{HEARTBEAT, Watch, WatchInput, WatchOutput};
use quillmount_policy::Micros;

pub const FLEETS: [u32; 4] = [3, 100, 300, 5_000];
pub const DRAIN_GRACES: [Micros; 2] = [500_000, 1_000_000];
pub const FLEET_SIZES: [u32; 9] = [1, 3, 10, 11, 30, 64, 100, 300, 5_000];
/// The maximum size of a fleet that replaces a lost request within the drain grace period. Larger fleets wait longer, so
/// that discovery is not overloaded.
pub const SMALL_FLEET: u32 = 10;
pub const TICK: WatchInput = WatchInput::Tick { moved: false };
pub const BROKEN: WatchInput = WatchInput::Broken { moved: false };
pub const RECEIVED: WatchInput = WatchInput::Received { moved: false };

pub fn courier(fleet: u32, index: u32, delay_first: bool, drain_grace: Micros) -> Watch {
    Watch::of_fleet(0, fleet, u64::from(index) * 77, delay_first, drain_grace)
}

/// Advances to the time of the next tick and applies it. Returns that time, and whether a request was sent.
fn tick(watch: &mut Watch) -> (Micros, bool) {
    let now = watch.wake_at().unwrap();
    (now, matches!(watch.step(TICK, now), WatchOutput::Request | WatchOutput::Hedge { .. }))
}

pub fn next_request(watch: &mut Watch) -> Micros {
    loop {
        if let (sent_at, true) = tick(watch) {
            return sent_at;
        }
    }
}

/// Applies an answer at time 0 and a heartbeat every 2 s. Returns the time of the last heartbeat.
pub fn follow_until_silence(watch: &mut Watch) -> Micros {
    watch.step(WatchInput::Answered, 0);
    for heartbeat in 0..=3 {
        watch.step(RECEIVED, heartbeat * HEARTBEAT);
    }
    3 * HEARTBEAT
}

/// The maximum number of requests within any second.
pub fn max_requests_per_second(mut sent: Vec<Micros>) -> usize {
    sent.sort_unstable();
    let first_within = |end: usize| sent.partition_point(|sent_at| sent_at + 1_000_000 <= sent[end]);
    (0..sent.len()).map(|end| end + 1 - first_within(end)).max().unwrap_or(0)
}
