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

/// From so many seeds on, runs go on all cores: an ordinary run of the tests leaves the others to other tests.
const PARALLEL_FROM: u64 = 500;

/// Runs the seeds from 1 to the count, and returns what each run gave, in the order of the seeds.
///
/// # Panics
/// A run panics; the message names its seed.
#[track_caller]
pub fn run_each<Outcome: Send>(
    count: u64,
    run: impl Fn(u64) -> Outcome + RefUnwindSafe + Sync,
) -> Vec<Outcome> {
    let run_one =
        |seed| catch_unwind(|| run(seed)).unwrap_or_else(|_| panic!("the run of seed {seed} failed"));
    if count < PARALLEL_FROM {
        return (1..=count).map(run_one).collect();
    }
    let threads = std::thread::available_parallelism().map_or(1, |cores| cores.get() as u64);
    let of_thread = |thread: u64| (1..=count).filter(move |seed| seed % threads == thread);
    let mut outcomes: Vec<(u64, Outcome)> = std::thread::scope(|scope| {
        let run_one = &run_one;
        let workers: Vec<_> = (0..threads)
            .map(|thread| {
                scope.spawn(move || of_thread(thread).map(|seed| (seed, run_one(seed))).collect::<Vec<_>>())
            })
            .collect();
        let outcomes = workers.into_iter().map(|worker| worker.join());
        outcomes
            .flat_map(|outcome| outcome.unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    });
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
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
