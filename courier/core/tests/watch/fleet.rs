//! The watches of a fleet's couriers: how large the fleets are, how a watch is followed, and when it sends requests.

use quillmount_core::machine::watch::{HEARTBEAT, Watch, WatchInput, WatchOutput};
use quillmount_policy::Micros;

pub const FLEETS: [u32; 4] = [3, 100, 300, 5_000];
pub const HEEDS: [Micros; 2] = [500_000, 1_000_000];
pub const SIZES: [u32; 9] = [1, 3, 10, 11, 30, 64, 100, 300, 5_000];
/// In larger fleets a lost request costs more time, so that discovery can answer the others.
pub const FEW: u32 = 10;
pub const TICK: WatchInput = WatchInput::Tick { moved: false };
pub const BROKEN: WatchInput = WatchInput::Broken { moved: false };
pub const HEARD: WatchInput = WatchInput::Received { moved: false };

pub fn courier(fleet: u32, me: u32, starts: bool, heed: Micros) -> Watch {
    Watch::of_fleet(0, fleet, u64::from(me) * 77, starts, heed)
}

/// Waits for as long as the machine does; true: it sends a request, at the time returned.
fn tick(watch: &mut Watch) -> (Micros, bool) {
    let now = watch.wake_at().unwrap();
    (now, matches!(watch.step(TICK, now), WatchOutput::Request | WatchOutput::Hedge { .. }))
}

pub fn next_ask(watch: &mut Watch) -> Micros {
    loop {
        if let (at, true) = tick(watch) {
            return at;
        }
    }
}

/// A watch followed from 0 on, with a line every 2 s; returns the time of the last one.
pub fn followed(watch: &mut Watch) -> Micros {
    watch.step(WatchInput::Answered, 0);
    for beat in 0..=3 {
        watch.step(HEARD, beat * HEARTBEAT);
    }
    3 * HEARTBEAT
}

/// The most requests within any second.
pub fn busiest(mut asked: Vec<Micros>) -> usize {
    asked.sort_unstable();
    let begun = |end: usize| asked.partition_point(|at| at + 1_000_000 <= asked[end]);
    (0..asked.len()).map(|end| end + 1 - begun(end)).max().unwrap_or(0)
}
