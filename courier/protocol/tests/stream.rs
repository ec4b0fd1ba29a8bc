//! Decodes chunked request bodies for every size of the reads.

use bytes::{Buf, BytesMut};
use quillmount_core::flow::Cut;
use quillmount_protocol::stream::{BodyDecoder, BodyEvent, Framing};

/// Decodes a chunked body for every size of the reads, and asserts that the result is the same for all of them: the
/// length of the content, `None` if the body is incomplete, or the reason for which it is rejected.
fn decode(text: &[u8], max_length: u64) -> Result<Option<u64>, Cut> {
    let mut outcomes = Vec::new();
    for size in 1..=text.len() {
        let (mut decoder, mut buf, mut content_length, mut end) =
            (BodyDecoder::new(Framing::Chunked, max_length), BytesMut::new(), 0, None);
        'reads: for received in text.chunks(size) {
            buf.extend_from_slice(received);
            loop {
                match decoder.next(&mut buf) {
                    BodyEvent::Content(0) => break,
                    BodyEvent::Content(n) => {
                        buf.advance(n);
                        decoder.consumed(n as u64);
                        content_length += n as u64;
                    }
                    BodyEvent::End => {
                        end = Some(Ok(Some(content_length)));
                        break 'reads;
                    }
                    BodyEvent::Invalid(cut) => {
                        end = Some(Err(cut));
                        break 'reads;
                    }
                }
            }
        }
        outcomes.push(end.unwrap_or(Ok(None)));
    }
    assert!(outcomes.iter().all(|o| *o == outcomes[0]), "{outcomes:?}");
    outcomes[0]
}

#[test]
fn chunks_decode_for_every_size_of_the_reads() {
    assert_eq!(decode(b"3\r\nabc\r\n0A;x=\"y\"\r\n0123456789\r\n0\r\n\r\n", 99), Ok(Some(13)));
    assert_eq!(decode(b"3\r\nabc\r\n0\r\n", 99), Ok(None), "cut short before its end");
    assert_eq!(decode(b"0\r\n\r\n", 99), Ok(Some(0)));
}

#[test]
fn ambiguous_framing_is_rejected() {
    let invalid = [
        &b"3\nabc\r\n0\r\n\r\n"[..],
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b" 3\r\nabc\r\n0\r\n\r\n",
        b"3 \r\nabc\r\n0\r\n\r\n",
        b"\r\n",
        b"3;a\rb\r\nabc\r\n0\r\n\r\n",
        b"00000000000000003\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n",
    ];
    for text in invalid {
        assert_eq!(decode(text, 99), Err(Cut::Malformed), "{}", String::from_utf8_lossy(text));
    }
    assert_eq!(decode(b"3\r\nabc\r\n", 2), Err(Cut::TooLarge));
    assert_eq!(decode(b"ffffffffffffffff\r\n", 99), Err(Cut::TooLarge));
}

#[test]
fn excessive_chunk_extensions_are_rejected() {
    let mut text = format!("1;{}\r\nx\r\n", "e".repeat(200)).repeat(400).into_bytes();
    text.extend_from_slice(b"0\r\n\r\n");
    let (mut decoder, mut buf) = (BodyDecoder::new(Framing::Chunked, u64::MAX), BytesMut::from(&text[..]));
    let end = loop {
        match decoder.next(&mut buf) {
            BodyEvent::Content(n) if n > 0 => {
                buf.advance(n);
                decoder.consumed(n as u64);
            }
            other => break other,
        }
    };
    assert_eq!(end, BodyEvent::Invalid(Cut::Malformed));
    assert_eq!(decode(format!("1;{}\r\nx\r\n", "e".repeat(300)).as_bytes(), 99), Err(Cut::Malformed));
}
