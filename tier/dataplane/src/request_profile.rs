//! What a request asks of an endpoint: the parts of its prompt, and tokens.

/// A part of a prompt: identity and tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    pub id: u64,
    pub tokens: u32,
}

/// What a request asks of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestProfile {
    pub segments: Vec<PromptSegment>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

impl RequestProfile {
    /// Reads `Token-Count` and `Prompt-Prefix`; what can't be read counts as nothing.
    pub fn parse(token_count: Option<&str>, prompt_prefix: Option<&str>) -> RequestProfile {
        let mut counts =
            token_count.unwrap_or_default().split(',').map(|field| field.trim().parse().unwrap_or(0));
        let prompt_tokens = counts.next().unwrap_or(0);
        let output_tokens = counts.next().unwrap_or(0);
        let segment = |field: &str| {
            let (id, tokens) = field.trim().split_once(':')?;
            Some(PromptSegment { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
        };
        let segments = prompt_prefix.unwrap_or_default().split(',').filter_map(segment).collect();
        RequestProfile { segments, prompt_tokens, output_tokens }
    }

    /// Tokens of the whole prompt.
    pub(crate) fn tokens(&self) -> u32 {
        let segments: u32 = self.segments.iter().map(|segment| segment.tokens).fold(0, u32::saturating_add);
        segments.max(self.prompt_tokens)
    }

    /// Parts that other requests share: all but the last, which belongs to the request or its session.
    pub(crate) fn shared(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The parts by which requests are kept together: the longest shared one decides.
    pub(crate) fn affinity(&self) -> Option<u64> {
        self.shared().iter().max_by_key(|segment| segment.tokens).map(|segment| segment.id)
    }
}
