//! Runs of many seeds: their number can be set from outside, and a failure names its seed.

use std::ops::RangeInclusive;
use std::panic::{AssertUnwindSafe, RefUnwindSafe, catch_unwind};

/// The variable that sets the number of seeds of a test.
const COUNT_VARIABLE: &str = "SEEDS";

/// The number of seeds that the environment variable `SEEDS` names, or the default.
#[must_use]
pub fn count(default: u64) -> u64 {
    std::env::var(COUNT_VARIABLE).ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(default)
}

/// Runs the seeds from 1 to the count, and returns what each run gave.
///
/// # Panics
/// A run panics; the message names its seed.
#[track_caller]
pub fn run_each<Outcome>(count: u64, run: impl Fn(u64) -> Outcome + RefUnwindSafe) -> Vec<Outcome> {
    let run_one =
        |seed| catch_unwind(|| run(seed)).unwrap_or_else(|_| panic!("the run of seed {seed} failed"));
    (1..=count).map(run_one).collect()
}

/// Whether a run panics, which is how a deliberate fault is detected.
pub fn fails(run: impl FnOnce()) -> bool {
    catch_unwind(AssertUnwindSafe(run)).is_err()
}

/// The first seed whose run panics.
pub fn first_failing(seeds: RangeInclusive<u64>, run: impl Fn(u64)) -> Option<u64> {
    seeds.into_iter().find(|seed| fails(|| run(*seed)))
}

/// Silences the messages of panics in this process until it is dropped: for tests in which many runs are expected to fail.
#[derive(Debug)]
pub struct SilencedPanics(());

impl SilencedPanics {
    /// Silences the messages from now on.
    #[must_use]
    pub fn begin() -> SilencedPanics {
        std::panic::set_hook(Box::new(|_| {}));
        SilencedPanics(())
    }
}

impl Drop for SilencedPanics {
    fn drop(&mut self) {
        // The hook can't be changed while this thread panics.
        if !std::thread::panicking() {
            let _ = std::panic::take_hook();
        }
    }
}
