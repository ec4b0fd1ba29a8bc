//! Reports of load in answers.

use quillmount_protocol::delivery::load_report;

fn answer(header: &str) -> Vec<u8> {
    format!("HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 503 X\r\n{header}Content-Length: 0\r\n\r\n").into_bytes()
}

fn told(header: &str) -> Vec<(String, f64)> {
    load_report(&answer(header))
}

#[test]
fn a_report_is_read_by_its_names() {
    let both = vec![("x0".to_string(), 0.4), ("x1".to_string(), 25.0)];
    assert_eq!(told("X-Backend-Load: x0=0.4,x1=25\r\n"), both);
    assert_eq!(told("x-backend-load:  x0 = 0.4 , x1=2.5e1\r\n"), both);
}

#[test]
fn what_is_no_report_tells_nothing() {
    for odd in ["", "X-Backend-Load: \r\n", "X-Backend-Load: x0\r\n", "X-Backend-Load: x0=much,=\r\n"] {
        assert_eq!(told(odd), [], "{odd:?}");
    }
    // Twice, it says two things.
    assert_eq!(told("X-Backend-Load: x1=1\r\nX-Backend-Load: x1=2\r\n"), []);
    for cut in 0..answer("X-Backend-Load: x1=1\r\n").len() {
        let bytes = &answer("X-Backend-Load: x1=1\r\n")[..cut];
        assert_eq!(load_report(bytes), [], "a head of {cut} bytes is not whole");
    }
}
