//! What a request asks of an endpoint: the parts of its prompt, and tokens.

/// A part of a prompt: identity and tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What a request asks of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    pub parts: Vec<PromptPart>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

impl Demand {
    /// Reads `Token-Count` and `Prompt-Prefix`; what can't be read counts as nothing.
    pub fn parse(token_count: Option<&str>, prompt_prefix: Option<&str>) -> Demand {
        let mut counts =
            token_count.unwrap_or_default().split(',').map(|word| word.trim().parse().unwrap_or(0));
        let prompt_tokens = counts.next().unwrap_or(0);
        let output_tokens = counts.next().unwrap_or(0);
        let part = |word: &str| {
            let (id, tokens) = word.trim().split_once(':')?;
            Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
        };
        let parts = prompt_prefix.unwrap_or_default().split(',').filter_map(part).collect();
        Demand { parts, prompt_tokens, output_tokens }
    }

    /// Tokens of the whole prompt.
    pub(crate) fn tokens(&self) -> u32 {
        let parts: u32 = self.parts.iter().map(|part| part.tokens).fold(0, u32::saturating_add);
        parts.max(self.prompt_tokens)
    }

    /// Parts that other requests share: all but the last, which belongs to the request or its session.
    pub(crate) fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The parts by which requests are kept together: the longest shared one decides.
    pub(crate) fn affinity(&self) -> Option<u64> {
        self.shared().iter().max_by_key(|part| part.tokens).map(|part| part.id)
    }
}
