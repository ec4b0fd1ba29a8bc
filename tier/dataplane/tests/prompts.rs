//! Tests of request profiles and of the estimate of cached prompt segments.

use quillmount_dataplane::prefix_cache::PrefixCache;
use quillmount_dataplane::request_profile::{PromptSegment, RequestProfile};

fn segment(id: u64, tokens: u32) -> PromptSegment {
    PromptSegment { id, tokens }
}

#[test]
fn a_request_profile_is_read_from_its_headers() {
    let profile = RequestProfile::parse(Some("1460,80"), Some("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"));
    assert_eq!((profile.prompt_tokens, profile.output_tokens, profile.segments.len()), (1460, 80, 3));
    assert_eq!(profile.segments[0], PromptSegment { id: 0x5c1e_07a2, tokens: 800 });
    assert_eq!(RequestProfile::parse(Some("x"), Some("y:,:3,zz:1")), RequestProfile::default());
}

#[test]
fn a_segment_counts_as_cached_until_the_memory_share_was_sent_since() {
    let mut cache = PrefixCache::new(1000);
    cache.record(&[segment(1, 400), segment(2, 100)]);
    assert_eq!(cache.cached_tokens(&[segment(1, 400), segment(2, 100), segment(3, 50)]), 500);
    cache.record(&[segment(4, 400)]);
    cache.record(&[segment(1, 400)]);
    cache.record(&[segment(5, 200)]);
    assert_eq!(cache.cached_tokens(&[segment(4, 400)]), 400, "segments 4, 1 and 5 fit in 1000 tokens");
    assert_eq!(cache.cached_tokens(&[segment(2, 100)]), 0, "segment 2 is the least recently used");
    cache.resize(700);
    assert_eq!(cache.cached_tokens(&[segment(1, 400)]), 400);
    assert_eq!(cache.cached_tokens(&[segment(4, 400)]), 0);
    cache.clear();
    assert_eq!(cache.cached_tokens(&[segment(1, 400)]), 0);
}

#[test]
fn a_segment_counts_only_if_all_before_it_are_cached() {
    let mut cache = PrefixCache::new(1000);
    cache.record(&[segment(2, 100)]);
    assert_eq!(cache.cached_tokens(&[segment(1, 400), segment(2, 100)]), 0);
}

#[test]
fn a_segment_larger_than_the_memory_is_not_cached() {
    let mut cache = PrefixCache::new(1000);
    cache.record(&[segment(1, 1001)]);
    assert_eq!(cache.cached_tokens(&[segment(1, 1001)]), 0);
}
