//! What one endpoint may still keep of the prompts that this process sent there.
//!
//! An endpoint drops the parts that were unused longest. All processes send there at about the same rate, so what was sent
//! from here is kept while the tokens sent from here since are fewer than this process's share of the endpoint's memory.

use crate::request_profile::PromptSegment;
use std::collections::{BTreeMap, HashMap};

/// Parts remembered at most, whatever the capacity.
const SEGMENTS_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u32,
    /// Number of its last use.
    last_use: u64,
}

/// Parts in the order of their last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Tokens.
    capacity: u64,
    used_tokens: u64,
    use_counter: u64,
    segments: HashMap<u64, CachedSegment>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Changes the capacity, tokens; what no longer fits is forgotten.
    pub fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.evict_excess();
    }

    /// Tokens that need not be read again: a part counts only if all before it are kept.
    pub fn cached_tokens(&self, segments: &[PromptSegment]) -> u32 {
        segments
            .iter()
            .take_while(|segment| self.segments.contains_key(&segment.id))
            .map(|segment| segment.tokens)
            .fold(0, u32::saturating_add)
    }

    /// A prompt of these parts was sent.
    pub fn record(&mut self, segments: &[PromptSegment]) {
        for segment in segments {
            self.use_counter += 1;
            let cached = CachedSegment { tokens: segment.tokens, last_use: self.use_counter };
            if let Some(before) = self.segments.insert(segment.id, cached) {
                self.used_tokens -= u64::from(before.tokens);
                self.order.remove(&before.last_use);
            }
            self.used_tokens += u64::from(segment.tokens);
            self.order.insert(self.use_counter, segment.id);
        }
        self.evict_excess();
    }

    /// The endpoint may have lost all.
    pub fn clear(&mut self) {
        *self = PrefixCache { use_counter: self.use_counter, ..PrefixCache::new(self.capacity) };
    }

    fn evict_excess(&mut self) {
        while (self.used_tokens > self.capacity || self.segments.len() > SEGMENTS_LIMIT)
            && let Some((_, id)) = self.order.pop_first()
        {
            if let Some(cached) = self.segments.remove(&id) {
                self.used_tokens -= u64::from(cached.tokens);
            }
        }
    }
}
