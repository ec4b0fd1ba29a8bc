//! Scans chunked response bodies that are held in memory as a whole (RFC 9112, section 7.1).

use super::response_head::HEADERS_MAX;
use crate::submission::BODY_MAX;
use httparse::{EMPTY_HEADER, InvalidChunkSize, Status};

const LINE_END: &[u8] = b"\r\n";

/// Returns the length in bytes of a chunked body, trailer section included, or `None` if its end has not been
/// received. Calls `on_chunk` with the content of each complete chunk.
///
/// # Errors
/// The bytes are not a valid chunked body.
pub(super) fn scan_chunks(
    bytes: &[u8],
    mut on_chunk: impl FnMut(&[u8]),
) -> Result<Option<usize>, InvalidChunkSize> {
    let mut position = 0;
    loop {
        let Status::Complete((line_length, size)) = httparse::parse_chunk_size(&bytes[position..])? else {
            return Ok(None);
        };
        let start = position + line_length;
        if size == 0 {
            let trailer = trailer_length(&bytes[start..])?;
            return Ok(trailer.map(|length| start + length));
        }
        // A body has at most `BODY_MAX` bytes, so a larger chunk never becomes complete.
        let end = start + size.min(BODY_MAX as u64 + 1) as usize;
        let Some(line_end) = bytes.get(end..end + LINE_END.len()) else { return Ok(None) };
        if line_end != LINE_END {
            return Err(InvalidChunkSize);
        }
        on_chunk(&bytes[start..end]);
        position = end + LINE_END.len();
    }
}

/// Returns the length of the trailer section, including the empty line that ends it, or `None` if that line has not
/// been received.
fn trailer_length(bytes: &[u8]) -> Result<Option<usize>, InvalidChunkSize> {
    let mut fields = [EMPTY_HEADER; HEADERS_MAX];
    match httparse::parse_headers(bytes, &mut fields) {
        Ok(Status::Complete((length, _))) => Ok(Some(length)),
        Ok(Status::Partial) => Ok(None),
        Err(_) => Err(InvalidChunkSize),
    }
}
