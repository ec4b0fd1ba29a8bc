//! Estimate of the prompt segments that an endpoint has cached.
//!
//! An endpoint evicts the least recently used segments. All processes send to it at about the same rate, so a segment is assumed to
//! be cached until this process has sent it as many further tokens as this process's share of the endpoint's memory.

use crate::request_profile::PromptSegment;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of tracked segments, independent of the capacity.
const MAX_SEGMENTS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u32,
    /// Key of this segment in [`PrefixCache::use_order`].
    last_use: u64,
}

/// The prompt segments sent to one endpoint, with LRU eviction.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Maximum sum of the tokens of all segments.
    capacity: u64,
    /// Sum of the tokens of all segments.
    used_tokens: u64,
    use_counter: u64,
    /// Cached segments by id.
    segments: HashMap<u64, CachedSegment>,
    /// Segment ids by the counter value of their last use; the first one is evicted next.
    use_order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// An empty cache with a capacity in tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Changes the capacity, in tokens, and evicts segments that no longer fit.
    pub fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.evict_excess();
    }

    /// Number of prompt tokens that need no prefill. A segment counts only if all segments before it are cached.
    pub fn cached_tokens(&self, segments: &[PromptSegment]) -> u32 {
        segments
            .iter()
            .take_while(|segment| self.segments.contains_key(&segment.id))
            .map(|segment| segment.tokens)
            .fold(0, u32::saturating_add)
    }

    /// Records that a prompt with these segments was sent.
    pub fn record(&mut self, segments: &[PromptSegment]) {
        for segment in segments {
            self.use_counter += 1;
            let cached = CachedSegment { tokens: segment.tokens, last_use: self.use_counter };
            if let Some(replaced) = self.segments.insert(segment.id, cached) {
                self.used_tokens -= u64::from(replaced.tokens);
                self.use_order.remove(&replaced.last_use);
            }
            self.used_tokens += u64::from(segment.tokens);
            self.use_order.insert(self.use_counter, segment.id);
        }
        self.evict_excess();
    }

    /// Removes all segments, for an endpoint that may have lost its cache.
    pub fn clear(&mut self) {
        *self = PrefixCache { use_counter: self.use_counter, ..PrefixCache::new(self.capacity) };
    }

    fn evict_excess(&mut self) {
        while (self.used_tokens > self.capacity || self.segments.len() > MAX_SEGMENTS)
            && let Some((_, id)) = self.use_order.pop_first()
        {
            if let Some(evicted) = self.segments.remove(&id) {
                self.used_tokens -= u64::from(evicted.tokens);
            }
        }
    }
}
