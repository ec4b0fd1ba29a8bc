//! The expected load of a request on an endpoint, as stated in its headers.

/// A segment of a prompt. Requests whose prompts begin with the same segments share that prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the content: segments with the same text have the same id.
    pub id: u64,
    /// Length of the segment, tokens.
    pub tokens: u32,
}

/// The expected load of a request on an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestProfile {
    /// Segments of the prompt, in prompt order.
    pub segments: Vec<PromptSegment>,
    /// Stated length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Expected length of the output, tokens.
    pub output_tokens: u32,
}

impl RequestProfile {
    /// Parses the values of the headers `Token-Count` (`prompt,output`) and `Prompt-Prefix` (`id:tokens,...` with hexadecimal
    /// ids). Counts that can't be parsed become 0, and segments that can't be parsed are skipped.
    pub fn parse(token_count: Option<&str>, prompt_prefix: Option<&str>) -> RequestProfile {
        let mut counts =
            token_count.unwrap_or_default().split(',').map(|field| field.trim().parse().unwrap_or(0));
        let prompt_tokens = counts.next().unwrap_or(0);
        let output_tokens = counts.next().unwrap_or(0);
        let segments = prompt_prefix.unwrap_or_default().split(',').filter_map(parse_segment).collect();
        RequestProfile { segments, prompt_tokens, output_tokens }
    }

    /// Length of the complete prompt, tokens: the larger one of the stated length and the sum over the segments.
    pub(crate) fn total_prompt_tokens(&self) -> u32 {
        let segments: u32 = self.segments.iter().map(|segment| segment.tokens).fold(0, u32::saturating_add);
        segments.max(self.prompt_tokens)
    }

    /// Segments that other requests may have in common: all but the last, which is specific to the request or its session.
    pub(crate) fn shared_segments(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Id of the segment that determines the preferred endpoint: the longest shared one.
    pub(crate) fn affinity_segment(&self) -> Option<u64> {
        self.shared_segments().iter().max_by_key(|segment| segment.tokens).map(|segment| segment.id)
    }
}

fn parse_segment(field: &str) -> Option<PromptSegment> {
    let (id, tokens) = field.trim().split_once(':')?;
    Some(PromptSegment { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}
