//! Header fields of a head.

/// Names and values of headers, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub(super) Vec<(String, String)>);

impl Headers {
    /// All headers, name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// Whether a header with a comma-separated list contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// All values of a header, in their order.
    pub(super) fn get_all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Headers that apply to one connection only (RFC 9110, section 7.6.1), or that an intermediary replaces.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Whether a header applies to one connection only and must not be forwarded. `headers` is the head that contains it.
pub fn is_connection_header(name: &str, headers: &Headers) -> bool {
    CONNECTION_HEADERS.iter().any(|known| name.eq_ignore_ascii_case(known))
        || headers.has_token("Connection", name)
}
