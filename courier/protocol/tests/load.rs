//! Parses load reports in the responses of endpoints.

use quillmount_protocol::delivery::load_report;

fn response(header: &str) -> Vec<u8> {
    format!("HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 503 X\r\n{header}Content-Length: 0\r\n\r\n").into_bytes()
}

fn parse_report(header: &str) -> Vec<(String, f64)> {
    load_report(&response(header))
}

#[test]
fn a_report_is_parsed_into_named_values() {
    let both = vec![("x0".to_string(), 0.4), ("x1".to_string(), 25.0)];
    assert_eq!(parse_report("X-Backend-Load: x0=0.4,x1=25\r\n"), both);
    assert_eq!(parse_report("x-backend-load:  x0 = 0.4 , x1=2.5e1\r\n"), both);
}

#[test]
fn an_invalid_report_has_no_values() {
    for header in ["", "X-Backend-Load: \r\n", "X-Backend-Load: x0\r\n", "X-Backend-Load: x0=much,=\r\n"] {
        assert_eq!(parse_report(header), [], "{header:?}");
    }
    // A repeated header is ambiguous, so both are ignored.
    assert_eq!(parse_report("X-Backend-Load: x1=1\r\nX-Backend-Load: x1=2\r\n"), []);
    for cut in 0..response("X-Backend-Load: x1=1\r\n").len() {
        let bytes = &response("X-Backend-Load: x1=1\r\n")[..cut];
        assert_eq!(load_report(bytes), [], "a head of {cut} bytes is incomplete");
    }
}
