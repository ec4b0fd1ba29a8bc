//! Operators' lines.

use quillmount_protocol::operator::{BadCall, LINE_MAX, Line, OperatorCall, read};

#[test]
fn lines_that_are_calls_and_lines_that_are_not() {
    let call = |bytes: &[u8]| match read(bytes, false) {
        Line::Whole(call) => Some(call),
        Line::Partial => None,
    };
    assert_eq!(call(b"READY\n"), Some(Ok(OperatorCall::Ready)));
    assert_eq!(call(b"DISABLE  s-1\r\n"), Some(Ok(OperatorCall::Disable("s-1".into()))));
    assert_eq!(call(b"ENABLE s-1\n"), Some(Ok(OperatorCall::Enable("s-1".into()))));
    assert_eq!(call(b"UNDRAIN \n"), Some(Ok(OperatorCall::Undrain)));
    assert_eq!(call(b"DRAIN\nREADY\n"), Some(Ok(OperatorCall::Drain)));
    let bad: [(&[u8], BadCall); 7] = [
        (b"\r\n", BadCall::Empty),
        (b"ready\n", BadCall::Unknown),
        (b"DISABLE\n", BadCall::NoId),
        (b"DISABLE a b\n", BadCall::Surplus),
        (b"DRAIN now\n", BadCall::Surplus),
        (b"DISABLE \xff\n", BadCall::NotText),
        (&[b'A'; LINE_MAX + 1], BadCall::TooLong),
    ];
    for (line, why) in bad {
        assert_eq!(call(line), Some(Err(why)), "{line:?}");
    }
    for cut in 0..5 {
        assert_eq!(call(&b"READY\n"[..cut]), None);
    }
    assert_eq!(read(b"READY", true), Line::Whole(Err(BadCall::Unended)));
    assert_eq!(read(b"", true), Line::Whole(Err(BadCall::Empty)));
}
