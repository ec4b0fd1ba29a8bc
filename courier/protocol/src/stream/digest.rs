//! Digests of bodies (`Content-Digest`, RFC 9530).

use crate::submission::Malformed;
use actix_http::header::HeaderMap;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest as _, Sha256};

/// The SHA-256 digest that a client has announced for a body (`Content-Digest`, RFC 9530).
#[derive(Clone)]
pub struct Digest {
    announced: [u8; 32],
    /// Of the bytes so far.
    computed: Sha256,
}

impl Digest {
    /// The digest in `Content-Digest`, if there is one by `sha-256`. Those by other algorithms are not checked.
    ///
    /// # Errors
    /// The header is malformed, or has two digests by `sha-256`.
    pub fn of(headers: &HeaderMap) -> Result<Option<Digest>, Malformed> {
        let mut found = None;
        for value in headers.get_all("content-digest") {
            let text = value.to_str().map_err(|_| Malformed::Digest)?;
            for member in text.split(',') {
                let AnnouncedDigest { algorithm, bytes } =
                    AnnouncedDigest::parse(member).ok_or(Malformed::Digest)?;
                if algorithm != "sha-256" {
                    continue;
                }
                let announced = bytes.try_into().map_err(|_| Malformed::Digest)?;
                let earlier = found.replace(Digest { announced, computed: Sha256::new() });
                if earlier.is_some() {
                    return Err(Malformed::Digest);
                }
            }
        }
        Ok(found)
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.computed.update(bytes);
    }

    /// Whether the complete body has the announced digest.
    pub fn matches(self) -> bool {
        self.computed.finalize().as_slice() == self.announced
    }
}

/// One member of `Content-Digest`.
struct AnnouncedDigest<'a> {
    algorithm: &'a str,
    bytes: Vec<u8>,
}

impl<'a> AnnouncedDigest<'a> {
    /// Parses `sha-256=:BASE64:`.
    fn parse(member: &'a str) -> Option<Self> {
        let (algorithm, value) = member.trim().split_once('=')?;
        let value = value.strip_prefix(':')?.strip_suffix(':')?;
        Some(AnnouncedDigest { algorithm, bytes: STANDARD.decode(value).ok()? })
    }
}

/// `Content-Digest` as the client sent it, to be forwarded.
pub fn digest_text(headers: &HeaderMap) -> Option<String> {
    let all: Vec<&str> = headers.get_all("content-digest").filter_map(|v| v.to_str().ok()).collect();
    (!all.is_empty()).then(|| all.join(", "))
}
