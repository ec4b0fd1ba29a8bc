//! Decodes the command lines of operators.

use quillmount_protocol::operator::{LINE_MAX, Line, OperatorCall, OperatorCallError, read};

#[test]
fn valid_and_invalid_lines() {
    let call = |bytes: &[u8]| match read(bytes, false) {
        Line::Complete(call) => Some(call),
        Line::Partial => None,
    };
    assert_eq!(call(b"READY\n"), Some(Ok(OperatorCall::Ready)));
    assert_eq!(call(b"DISABLE  s-1\r\n"), Some(Ok(OperatorCall::Disable("s-1".into()))));
    assert_eq!(call(b"ENABLE s-1\n"), Some(Ok(OperatorCall::Enable("s-1".into()))));
    assert_eq!(call(b"UNDRAIN \n"), Some(Ok(OperatorCall::Undrain)));
    assert_eq!(call(b"DRAIN\nREADY\n"), Some(Ok(OperatorCall::Drain)));
    let invalid: [(&[u8], OperatorCallError); 7] = [
        (b"\r\n", OperatorCallError::Empty),
        (b"ready\n", OperatorCallError::Unknown),
        (b"DISABLE\n", OperatorCallError::MissingId),
        (b"DISABLE a b\n", OperatorCallError::TrailingFields),
        (b"DRAIN now\n", OperatorCallError::TrailingFields),
        (b"DISABLE \xff\n", OperatorCallError::NotText),
        (&[b'A'; LINE_MAX + 1], OperatorCallError::TooLong),
    ];
    for (line, error) in invalid {
        assert_eq!(call(line), Some(Err(error)), "{line:?}");
    }
    for cut in 0..5 {
        assert_eq!(call(&b"READY\n"[..cut]), None);
    }
    assert_eq!(read(b"READY", true), Line::Complete(Err(OperatorCallError::Unterminated)));
    assert_eq!(read(b"", true), Line::Complete(Err(OperatorCallError::Empty)));
}
