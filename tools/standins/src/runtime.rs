//! Runs a test on one thread.

use std::future::Future;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Runs a test in a `LocalSet` on the calling thread.
///
/// # Panics
/// The test did not finish within the limit, or panicked itself.
pub fn run_within<F: Future<Output = ()>>(limit: Duration, test: impl FnOnce() -> F) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => panic!("the runtime of the test could not be built: {error}"),
    };
    let limited = async { timeout(limit, test()).await };
    let outcome = LocalSet::new().block_on(&runtime, limited);
    assert!(outcome.is_ok(), "the test did not finish within {limit:?}");
}
