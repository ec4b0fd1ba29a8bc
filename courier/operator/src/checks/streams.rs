//! Checks of the section `streams`.

use super::SectionChecks;
use crate::problems::Problem;
use crate::streams::Streams;
use crate::units::Size;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Possible shares of slots and windows.
const SHARES: RangeInclusive<f64> = 0.0..=1.0;
/// Possible buffers of one body.
const WINDOWS: RangeInclusive<Size> = Size(4 << 10)..=Size(64 << 20);
/// The least for all streams in one turn of the loop.
const MIN_TURN: Size = Size(16 << 10);
/// The longest stream.
const MAX_DURATION: Duration = Duration::from_secs(86_400);
/// What is wrong with an interval of zero.
const NO_TIME: &str = "nothing moves in no time";

/// Everything that is wrong with the section, in the order of the checks. It is checked also while it is off.
pub(crate) fn streams_problems(streams: &Streams) -> Vec<Problem> {
    let mut checks = SectionChecks::new("streams");
    check_shares(streams, &mut checks);
    check_sizes(streams, &mut checks);
    check_times(streams, &mut checks);
    checks.problems
}

fn check_shares(streams: &Streams, checks: &mut SectionChecks) {
    let shares = [("share_of_slots", streams.share_of_slots), ("share_of_window", streams.share_of_window)];
    for (name, share) in shares {
        checks.require(
            SHARES.contains(&share),
            name,
            format!("{name}: from 0 to 1 is possible, not {share}"),
        );
    }
}

fn check_sizes(streams: &Streams, checks: &mut SectionChecks) {
    let Streams { window, memory, largest, turn, .. } = streams;
    checks.require(
        WINDOWS.contains(window),
        "window",
        format!("from 4 KiB to 64 MiB is possible, not {window}"),
    );
    checks.require(memory >= window, "memory", format!("{memory} has no room for one window of {window}"));
    checks.require(largest.0 > 0, "largest", "nothing could be streamed");
    checks.require(*turn >= MIN_TURN, "turn", format!("16 KiB at least, not {turn}"));
}

fn check_times(streams: &Streams, checks: &mut SectionChecks) {
    let longest = streams.longest;
    checks.require(
        !longest.0.is_zero() && longest.0 <= MAX_DURATION,
        "longest",
        format!("up to a day is possible, not {longest}"),
    );
    for (side, pace) in [("consumer", &streams.client), ("provider", &streams.endpoint)] {
        checks.require(!pace.stall.0.is_zero(), format!("{side}.stall"), NO_TIME);
        checks.require(!pace.interval.0.is_zero(), format!("{side}.over"), NO_TIME);
    }
}
