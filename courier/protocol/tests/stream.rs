//! Bodies in chunks, however they come.

use bytes::{Buf, BytesMut};
use quillmount_core::flow::Cut;
use quillmount_protocol::stream::{BodyDecoder, BodyEvent, Framing};

/// What a body in these bytes comes to, however they are cut into pieces: its length, or why it is none.
fn read(text: &[u8], most: u64) -> Result<Option<u64>, Cut> {
    let mut outcomes = Vec::new();
    for size in 1..=text.len() {
        let (mut body, mut buf, mut sum, mut end) =
            (BodyDecoder::new(Framing::Chunked, most), BytesMut::new(), 0, None);
        'pieces: for piece in text.chunks(size) {
            buf.extend_from_slice(piece);
            loop {
                match body.next(&mut buf) {
                    BodyEvent::Content(0) => break,
                    BodyEvent::Content(n) => {
                        buf.advance(n);
                        body.consumed(n as u64);
                        sum += n as u64;
                    }
                    BodyEvent::End => {
                        end = Some(Ok(Some(sum)));
                        break 'pieces;
                    }
                    BodyEvent::Invalid(why) => {
                        end = Some(Err(why));
                        break 'pieces;
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
fn chunks_are_read_however_they_come() {
    assert_eq!(read(b"3\r\nabc\r\n0A;x=\"y\"\r\n0123456789\r\n0\r\n\r\n", 99), Ok(Some(13)));
    assert_eq!(read(b"3\r\nabc\r\n0\r\n", 99), Ok(None), "cut short before its end");
    assert_eq!(read(b"0\r\n\r\n", 99), Ok(Some(0)));
}

#[test]
fn what_readers_might_not_agree_on_is_refused() {
    let bad = [
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
    for text in bad {
        assert_eq!(read(text, 99), Err(Cut::Malformed), "{}", String::from_utf8_lossy(text));
    }
    assert_eq!(read(b"3\r\nabc\r\n", 2), Err(Cut::TooLarge));
    assert_eq!(read(b"ffffffffffffffff\r\n", 99), Err(Cut::TooLarge));
}

#[test]
fn a_bomb_of_extensions_is_refused() {
    let mut text = format!("1;{}\r\nx\r\n", "e".repeat(200)).repeat(400).into_bytes();
    text.extend_from_slice(b"0\r\n\r\n");
    let (mut body, mut buf) = (BodyDecoder::new(Framing::Chunked, u64::MAX), BytesMut::from(&text[..]));
    let end = loop {
        match body.next(&mut buf) {
            BodyEvent::Content(n) if n > 0 => {
                buf.advance(n);
                body.consumed(n as u64);
            }
            other => break other,
        }
    };
    assert_eq!(end, BodyEvent::Invalid(Cut::Malformed));
    assert_eq!(read(format!("1;{}\r\nx\r\n", "e".repeat(300)).as_bytes(), 99), Err(Cut::Malformed));
}
