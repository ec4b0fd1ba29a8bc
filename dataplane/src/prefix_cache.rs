//! What one endpoint may still keep of the prompts that this process sent there.
//!
//! An endpoint drops the parts that were unused longest. All processes send there at about the same rate, so what was sent
//! from here is kept while the tokens sent from here since are fewer than this process's share of the endpoint's memory.

use crate::demand::PromptPart;
use std::collections::{BTreeMap, HashMap};

/// Parts remembered at most, whatever the capacity.
const PARTS_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    /// Number of its last use.
    used: u64,
}

/// Parts in the order of their last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Tokens.
    capacity: u64,
    held: u64,
    uses: u64,
    parts: HashMap<u64, Kept>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Changes the capacity, tokens; what no longer fits is forgotten.
    pub fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.forget_excess();
    }

    /// Tokens that need not be read again: a part counts only if all before it are kept.
    pub fn kept_tokens(&self, parts: &[PromptPart]) -> u32 {
        parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id))
            .map(|part| part.tokens)
            .fold(0, u32::saturating_add)
    }

    /// A prompt of these parts was sent.
    pub fn record(&mut self, parts: &[PromptPart]) {
        for part in parts {
            self.uses += 1;
            let kept = Kept { tokens: part.tokens, used: self.uses };
            if let Some(before) = self.parts.insert(part.id, kept) {
                self.held -= u64::from(before.tokens);
                self.order.remove(&before.used);
            }
            self.held += u64::from(part.tokens);
            self.order.insert(self.uses, part.id);
        }
        self.forget_excess();
    }

    /// The endpoint may have lost all.
    pub fn clear(&mut self) {
        *self = PrefixCache { uses: self.uses, ..PrefixCache::new(self.capacity) };
    }

    fn forget_excess(&mut self) {
        while (self.held > self.capacity || self.parts.len() > PARTS_LIMIT)
            && let Some((_, id)) = self.order.pop_first()
        {
            if let Some(kept) = self.parts.remove(&id) {
                self.held -= u64::from(kept.tokens);
            }
        }
    }
}
