//! Tests of the parsers for heads, bodies and event streams, with complete input and with input split at any byte.

use quickcheck::QuickCheck;
use quillmount_dataplane::body::{BodyReader, LAST_CHUNK, write_chunk};
use quillmount_dataplane::events::EventReader;
use quillmount_dataplane::head::{Framing, HeadError, parse_request, parse_response};

#[test]
fn a_request_target_is_parsed_unaltered() {
    let bytes =
        b"POST /a%2Fb/?x=1 HTTP/1.1\r\nHost: H.example\r\nContent-Length: 3\r\nRequest-Id: 9c\r\n\r\nabc";
    let (head, length) = parse_request(bytes).unwrap().unwrap();
    assert_eq!((head.method.as_str(), head.target.as_str()), ("POST", "/a%2Fb/?x=1"));
    assert_eq!(head.framing, Framing::Length(3));
    assert_eq!(&bytes[length..], b"abc");
    assert_eq!(head.headers.get("request-id"), Some("9c"));
    assert!(head.keep_alive);
    (0..length).for_each(|cut| assert_eq!(parse_request(&bytes[..cut]).unwrap(), None));
}

#[test]
fn ambiguous_framing_is_rejected() {
    for lines in [
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length:",
    ] {
        let bytes = format!("POST / HTTP/1.1\r\nHost: a\r\n{lines}\r\n\r\n");
        assert_eq!(parse_request(bytes.as_bytes()), Err(HeadError::Ambiguous), "{lines}");
    }
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let (head, _) = parse_response(b"HTTP/1.1 200 OK\r\n\r\n", false).unwrap().unwrap();
    assert_eq!(head.framing, Framing::UntilClose);
    assert!(!head.keep_alive);
    let (head, _) = parse_response(b"HTTP/1.1 204 No Content\r\n\r\n", false).unwrap().unwrap();
    assert_eq!(head.framing, Framing::Empty);
}

#[test]
fn chunked_bodies_are_read_in_reads_of_any_size() {
    fn decodes_to_chunk_contents(chunks: Vec<Vec<u8>>, read_size: usize) -> bool {
        let mut wire = Vec::new();
        chunks.iter().for_each(|chunk| write_chunk(chunk, &mut wire));
        wire.extend_from_slice(LAST_CHUNK);
        wire.extend_from_slice(b"next");
        let mut reader = BodyReader::new(Framing::Chunked);
        let (mut input, mut output) = (Vec::new(), Vec::new());
        for received in wire.chunks(read_size % 7 + 1) {
            input.extend_from_slice(received);
            reader.read(&mut input, &mut output).unwrap();
        }
        reader.is_done() && output == chunks.concat() && input == b"next"
    }
    QuickCheck::new().tests(300).quickcheck(decodes_to_chunk_contents as fn(Vec<Vec<u8>>, usize) -> bool);
}

#[test]
fn malformed_chunks_are_rejected() {
    for wire in ["zz\r\n", "-1\r\n", "\r\n", "ffffffffffffffffff\r\n", "3\r\nabcX\r\n"] {
        let mut reader = BodyReader::new(Framing::Chunked);
        let (mut input, mut output) = (wire.as_bytes().to_vec(), Vec::new());
        let result = reader.read(&mut input, &mut output);
        assert!(result.is_err(), "{wire:?}");
    }
    let mut endless = vec![b'1'; 5000];
    assert!(BodyReader::new(Framing::Chunked).read(&mut endless, &mut Vec::new()).is_err());
}

#[test]
fn no_bytes_make_a_reader_panic() {
    fn parses_without_panic(bytes: Vec<u8>) -> bool {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes, false);
        let _ = BodyReader::new(Framing::Chunked).read(&mut bytes.clone(), &mut Vec::new());
        let mut events = EventReader::default();
        events.add(&bytes);
        while let Ok(Some(_)) = events.next_event() {}
        true
    }
    QuickCheck::new().tests(2000).quickcheck(parses_without_panic as fn(Vec<u8>) -> bool);
}

#[test]
fn events_are_complete_however_they_are_split() {
    let stream = b"id: 1\ndata: one\n\nversions: 3\nid: 2\ndata: two\ndata: lines\n\n: comment\r\n\r\nid: 3\ndata:x\n\nid: 4\nda";
    for read_size in 1..stream.len() {
        let mut reader = EventReader::default();
        let mut events = Vec::new();
        for bytes in stream.chunks(read_size) {
            reader.add(bytes);
            while let Some(event) = reader.next_event().unwrap() {
                events.push(event);
            }
        }
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), None, Some(3)], "reads of {read_size} bytes");
        assert_eq!(events[1].data.as_deref(), Some("two\nlines"));
        assert_eq!(events[3].data.as_deref(), Some("x"));
        assert_eq!(reader.pending_bytes(), "id: 4\nda".len());
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.clone()).collect();
        assert_eq!(raw, &stream[..raw.len()]);
    }
}
