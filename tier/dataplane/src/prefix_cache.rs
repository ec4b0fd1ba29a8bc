//! Estimate of the prompt segments that an endpoint still has cached.
//!
//! An endpoint evicts the segments that were unused longest. All processes send to it at about the same rate, so a segment is
//! assumed to be cached until this process has sent as many tokens there as its share of the endpoint's memory.

use crate::request_profile::PromptSegment;
use std::collections::{BTreeMap, HashMap};

/// Largest number of remembered segments, whatever the capacity.
const SEGMENTS_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u32,
    /// Key in [`PrefixCache::order`].
    last_use: u64,
}

/// The prompt segments sent to one endpoint, evicted in the order of their last use (LRU).
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Tokens.
    capacity: u64,
    /// Sum of the tokens of all segments.
    used_tokens: u64,
    use_counter: u64,
    /// By the segment's id.
    segments: HashMap<u64, CachedSegment>,
    /// Segment ids, by the number of their last use.
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// An empty cache of `capacity` tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Changes the capacity, tokens, and evicts what no longer fits.
    pub fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.evict_excess();
    }

    /// Tokens of a prompt that need no prefill: a segment counts only if all segments before it are cached.
    pub fn cached_tokens(&self, segments: &[PromptSegment]) -> u32 {
        segments
            .iter()
            .take_while(|segment| self.segments.contains_key(&segment.id))
            .map(|segment| segment.tokens)
            .fold(0, u32::saturating_add)
    }

    /// Records that a prompt of these segments was sent.
    pub fn record(&mut self, segments: &[PromptSegment]) {
        for segment in segments {
            self.use_counter += 1;
            let cached = CachedSegment { tokens: segment.tokens, last_use: self.use_counter };
            if let Some(replaced) = self.segments.insert(segment.id, cached) {
                self.used_tokens -= u64::from(replaced.tokens);
                self.order.remove(&replaced.last_use);
            }
            self.used_tokens += u64::from(segment.tokens);
            self.order.insert(self.use_counter, segment.id);
        }
        self.evict_excess();
    }

    /// Forgets all segments: the endpoint may have lost them.
    pub fn clear(&mut self) {
        *self = PrefixCache { use_counter: self.use_counter, ..PrefixCache::new(self.capacity) };
    }

    fn evict_excess(&mut self) {
        while (self.used_tokens > self.capacity || self.segments.len() > SEGMENTS_LIMIT)
            && let Some((_, id)) = self.order.pop_first()
        {
            if let Some(evicted) = self.segments.remove(&id) {
                self.used_tokens -= u64::from(evicted.tokens);
            }
        }
    }
}
