//! Responses of this program's own.

/// A response with a complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers without those that frame the body.
    pub headers: Vec<(&'static str, String)>,
    /// Content of the body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// A response with a line of text.
    pub fn text(status: u16, text: &str) -> HttpResponse {
        let headers = vec![("Content-Type", "text/plain".to_owned())];
        HttpResponse { status, headers, body: format!("{text}\n").into_bytes() }
    }

    /// A response with JSON.
    pub fn json(status: u16, body: String) -> HttpResponse {
        let headers = vec![("Content-Type", "application/json".to_owned())];
        HttpResponse { status, headers, body: body.into_bytes() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: String) -> HttpResponse {
        self.headers.push((name, value));
        self
    }

    /// The response as it is sent. Without `keep_alive` it announces that the connection will be closed.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        head.push_str(if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" });
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// The standard reason phrase of a status code (RFC 9110, section 15), for the codes that this program sends.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
