//! Decodes endpoint lists of a discovery watch for every split into chunks.

use quillmount_protocol::discovery::{ChunkOutcome, DiscoveryError, LIST_MAX, ListDecoder};

const ONE_LINE_LIST: &str = concat!(
    r#"{"version":42,"full":true,"servers":[{"id":"s-\"{1}\"","addr":"10.1.0.18:7070","zone":"ü","kind":"m2","#,
    r#""cell":3,"state":"ready","weight":1.0,"started_ms":0},{"id":"s-2","cell":4,"state":"gone"}]}"#
);

/// The same list indented over several lines, with empty lines inside it.
fn indented() -> String {
    let value: serde_json::Value = serde_json::from_str(ONE_LINE_LIST).unwrap();
    serde_json::to_string_pretty(&value).unwrap().replace("[\n", "[\n\n").replace('\n', "\r\n")
}

/// Decodes a chunk and asserts that it causes no error.
fn feed_valid(decoder: &mut ListDecoder, chunk: &[u8]) -> ChunkOutcome {
    let outcome = decoder.feed(chunk);
    assert!(outcome.error.is_none(), "{:?}", outcome.error);
    outcome
}

/// Decodes `text`, split at `cuts`, into the version and the number of endpoints of each list.
fn decode_split(text: &str, cuts: &[usize]) -> Vec<(u64, usize)> {
    let mut decoder = ListDecoder::default();
    let (mut all, mut from) = (Vec::new(), 0);
    for to in cuts.iter().copied().chain([text.len()]) {
        all.extend(feed_valid(&mut decoder, &text.as_bytes()[from..to]).lists);
        from = to;
    }
    // An empty line counts as a keep-alive only between two lists.
    assert!(feed_valid(&mut decoder, b"\n").alive, "cut at {cuts:?}: an incomplete list remains");
    all.iter().map(|list| (list.version, list.endpoints.len())).collect()
}

#[test]
fn one_line_and_indented_lists_decode_for_every_split() {
    let next = r#"{"version":43,"servers":[]}"#;
    let expected = [(42, 2), (43, 0), (42, 2)];
    let text = format!("\n\n{}\n\n{next}{ONE_LINE_LIST}\n \n", indented());
    assert_eq!(decode_split(&text, &[]), expected);
    assert_eq!(decode_split(&text, &(1..text.len()).collect::<Vec<_>>()), expected, "byte by byte");
    for cut in 1..text.len() {
        assert_eq!(decode_split(&text, &[cut]), expected, "cut at {cut}");
        let second = cut + (text.len() - cut) / 2;
        assert_eq!(decode_split(&text, &[cut, second]), expected, "cut at {cut} and {second}");
    }
}

/// A list is complete without a line end after it.
#[test]
fn a_list_is_complete_at_its_last_byte() {
    let mut decoder = ListDecoder::default();
    let text = indented();
    assert!(feed_valid(&mut decoder, &text.as_bytes()[..text.len() - 1]).lists.is_empty());
    assert_eq!(feed_valid(&mut decoder, b"}").lists.len(), 1);
}

#[test]
fn empty_lines_are_keep_alives_except_inside_an_incomplete_list() {
    let mut decoder = ListDecoder::default();
    let mut is_alive = |chunk: &str| feed_valid(&mut decoder, chunk.as_bytes()).alive;
    assert!(is_alive("\n") && is_alive("\r\n") && is_alive(&indented()) && is_alive("\n"));
    // The start of a list does not count: the remainder may never arrive.
    assert!(!is_alive(r#"{"version":"#));
    assert!(!is_alive("\n") && !is_alive("\n"), "empty lines inside an incomplete list are no keep-alives");
    assert!(is_alive("44}") && is_alive("\n"));
}

#[test]
fn an_invalid_list_fails_at_once_and_an_endless_one_at_the_limit() {
    let decode_error = |text: &str| ListDecoder::default().feed(text.as_bytes()).error.unwrap();
    for text in ["x", "]", "12\n", "\n[]", r#"{"version":1}]"#] {
        assert!(matches!(decode_error(text), DiscoveryError::Start(_)), "{text}");
    }
    for text in ["{]}", r#"{"version":1 "full":true}"#, r#"{"version":"1"}"#, "[1,true,[{}]]"] {
        assert!(matches!(decode_error(text), DiscoveryError::Json(_) | DiscoveryError::Start(_)), "{text}");
    }
    for (entry, message) in [
        (r#""state":"Ready""#, r#"invalid entry for endpoint s-1 in the list: state: "Ready" is not known"#),
        (
            r#""state":"ready","addr":"here""#,
            r#"invalid entry for endpoint s-1 in the list: addr "here" is not an IP address with a port: invalid socket address syntax"#,
        ),
    ] {
        let list = format!(r#"{{"version":1,"servers":[{{"id":"s-1","cell":1,{entry}}}]}}"#);
        assert_eq!(decode_error(&list).to_string(), message);
    }
    for (list, struct_name) in
        [("[]{}", "struct List with 3 elements"), (r#"{"version":1,"servers":[7]}"#, "struct Server")]
    {
        let message = decode_error(list).to_string();
        assert!(message.contains(&format!("expected {struct_name} at line 1")), "{message}");
    }
    let mut decoder = ListDecoder::default();
    feed_valid(&mut decoder, br#"{"version":1,"servers":[""#);
    let chunk = vec![b'x'; LIST_MAX / 4];
    let accepted: Vec<bool> = (0..4).map(|_| decoder.feed(&chunk).error.is_none()).collect();
    assert_eq!(accepted, [true, true, true, false]);
}
