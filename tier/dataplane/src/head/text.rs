//! Which texts may stand in a head, so that no part of a message is read as another one (RFC 9112, section 11.1; RFC 9110,
//! sections 5.1 and 5.5).

/// Characters of a header's name beside letters and digits.
const NAME_PUNCTUATION: &[u8] = b"!#$%&'*+-.^_`|~";

/// Returns whether a text may be the target of a request: a path, with a query or not, of visible ASCII characters.
#[must_use]
pub fn is_request_target(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns whether a text may be the name of a header.
#[must_use]
pub fn is_header_name(text: &str) -> bool {
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || NAME_PUNCTUATION.contains(&byte);
    !text.is_empty() && text.bytes().all(is_name_byte)
}

/// Returns whether a text may be the value of a header: it has no control characters other than tabs.
#[must_use]
pub fn is_header_value(text: &str) -> bool {
    text.bytes().all(|byte| byte == b'\t' || !byte.is_ascii_control())
}
