//! The assumed speed of prefill, the processing of a prompt before its first output token.

use quillmount_wire::Micros;

/// Prompt tokens that an endpoint is assumed to process in one millisecond.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 128.0;

/// Expected time to the first event of a call whose complete prompt is cached, milliseconds.
const CACHED_FIRST_EVENT_MS: f64 = 20.0;

/// Latency sample of a streamed call for the window of its endpoint, microseconds.
///
/// The time to the first event is scaled by the expected prefill time, so that the latencies of calls with long
/// and with short prompts are comparable: a call that takes exactly the expected time gets the sample of a call whose complete
/// prompt is cached.
pub(crate) fn normalized_latency(first_event: Micros, uncached_tokens: f64) -> f64 {
    let prefill_time = (uncached_tokens / PREFILL_TOKENS_PER_MS * 1000.0) as Micros;
    let reference = CACHED_FIRST_EVENT_MS * 1000.0;
    first_event as f64 * reference / (reference + prefill_time as f64)
}
