//! The load that a request puts on an endpoint, as its headers state it.

/// A segment of a prompt. Requests whose prompts begin with the same segments share that prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id, the same for the same text.
    pub id: u64,
    /// Length, tokens.
    pub tokens: u32,
}

/// The load that a request puts on an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestProfile {
    /// Segments of the prompt, in their order.
    pub segments: Vec<PromptSegment>,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Expected length of the answer, tokens.
    pub output_tokens: u32,
}

impl RequestProfile {
    /// Parses the values of the headers `Token-Count` (`prompt,output`) and `Prompt-Prefix` (`id:tokens,...` with hexadecimal
    /// ids). Counts that can't be parsed become 0, and such segments are left out.
    pub fn parse(token_count: Option<&str>, prompt_prefix: Option<&str>) -> RequestProfile {
        let mut counts =
            token_count.unwrap_or_default().split(',').map(|field| field.trim().parse().unwrap_or(0));
        let prompt_tokens = counts.next().unwrap_or(0);
        let output_tokens = counts.next().unwrap_or(0);
        let segments = prompt_prefix.unwrap_or_default().split(',').filter_map(parse_segment).collect();
        RequestProfile { segments, prompt_tokens, output_tokens }
    }

    /// Tokens of the complete prompt.
    pub(crate) fn tokens(&self) -> u32 {
        let segments: u32 = self.segments.iter().map(|segment| segment.tokens).fold(0, u32::saturating_add);
        segments.max(self.prompt_tokens)
    }

    /// Segments that other requests may share: all but the last, which belongs to the request or its session.
    pub(crate) fn shared(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Id of the segment that decides the preferred endpoint: the longest shared one.
    pub(crate) fn affinity(&self) -> Option<u64> {
        self.shared().iter().max_by_key(|segment| segment.tokens).map(|segment| segment.id)
    }
}

fn parse_segment(field: &str) -> Option<PromptSegment> {
    let (id, tokens) = field.trim().split_once(':')?;
    Some(PromptSegment { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}
