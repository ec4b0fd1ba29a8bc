//! Header fields of requests and responses.

/// Names and values of header fields in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub(super) Vec<(String, String)>);

impl Headers {
    /// All header fields as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// The first value of a header; the name is matched ignoring case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// Whether a header with a comma-separated list contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// All values of a header in the order received.
    pub(super) fn get_all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Headers that are specific to one connection (RFC 9110, section 7.6.1), or that an intermediary replaces.
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

/// Whether a header is specific to one connection and must not be forwarded. `headers` are all headers of the message: its
/// `Connection` header can name more of them.
pub fn is_connection_header(name: &str, headers: &Headers) -> bool {
    CONNECTION_HEADERS.iter().any(|listed| name.eq_ignore_ascii_case(listed))
        || headers.has_token("Connection", name)
}
