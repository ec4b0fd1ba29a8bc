//! Verification of request bodies against `Content-Digest` (RFC 9530).

use crate::submission::Malformed;
use actix_http::header::HeaderMap;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest as _, Sha256};

/// The SHA-256 digest that a client sends for a body (`Content-Digest`, RFC 9530), and the hash of the bytes
/// received so far.
#[derive(Clone)]
pub struct Digest {
    expected: [u8; 32],
    /// The hash state over the bytes received so far.
    computed: Sha256,
}

impl Digest {
    /// Returns the `sha-256` digest of `Content-Digest`, if there is one. Digests of other algorithms are not
    /// verified.
    ///
    /// # Errors
    /// The header is malformed, or has two `sha-256` digests.
    pub fn of(headers: &HeaderMap) -> Result<Option<Digest>, Malformed> {
        let mut digest = None;
        for value in headers.get_all("content-digest") {
            let text = value.to_str().map_err(|_| Malformed::Digest)?;
            for member in text.split(',') {
                let DigestMember { algorithm, bytes } =
                    DigestMember::parse(member).ok_or(Malformed::Digest)?;
                if algorithm != "sha-256" {
                    continue;
                }
                let expected = bytes.try_into().map_err(|_| Malformed::Digest)?;
                let earlier = digest.replace(Digest { expected, computed: Sha256::new() });
                if earlier.is_some() {
                    return Err(Malformed::Digest);
                }
            }
        }
        Ok(digest)
    }

    /// Adds the next bytes of the body to the hash.
    pub fn update(&mut self, bytes: &[u8]) {
        self.computed.update(bytes);
    }

    /// Whether the bytes added so far, the complete body, have the expected digest.
    pub fn matches(self) -> bool {
        self.computed.finalize().as_slice() == self.expected
    }
}

/// One algorithm and digest of the `Content-Digest` header.
struct DigestMember<'a> {
    algorithm: &'a str,
    bytes: Vec<u8>,
}

impl<'a> DigestMember<'a> {
    /// Parses `sha-256=:BASE64:`.
    fn parse(member: &'a str) -> Option<Self> {
        let (algorithm, value) = member.trim().split_once('=')?;
        let value = value.strip_prefix(':')?.strip_suffix(':')?;
        Some(DigestMember { algorithm, bytes: STANDARD.decode(value).ok()? })
    }
}

/// Returns the value of `Content-Digest` to forward to the endpoint; several headers are joined with commas. `None`
/// without one.
pub fn digest_text(headers: &HeaderMap) -> Option<String> {
    let all: Vec<&str> = headers.get_all("content-digest").filter_map(|v| v.to_str().ok()).collect();
    (!all.is_empty()).then(|| all.join(", "))
}
