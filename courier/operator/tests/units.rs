//! Sizes and spans as they are written and read.

use quillmount_operator::units::{Size, Span};
use std::time::Duration;

#[test]
fn units_are_read_and_bare_numbers_refused() {
    let size = |text: &str| text.parse::<Size>().map(|s| s.0);
    assert_eq!(
        [size("64 KiB"), size("64KiB"), size("2 kB"), size("0 B")],
        [Ok(65_536), Ok(65_536), Ok(2_000), Ok(0)]
    );
    assert!(["64", "", "KiB", "-1 KiB", "64 parsecs"].into_iter().all(|text| size(text).is_err()));
    let span = |text: &str| text.parse::<Span>().map(|s| s.0.as_millis());
    assert_eq!([span("250ms"), span("1m 30s")], [Ok(250), Ok(90_000)]);
    assert!(["10", "", "s", "-1s", "10 parsecs"].into_iter().all(|text| span(text).is_err()));
}

/// Operators read these texts in the problems of their file.
#[test]
fn errors_quote_the_text_and_say_what_is_wanted() {
    assert_eq!(
        "64".parse::<Size>().unwrap_err().to_string(),
        r#""64" is no size: a number and a unit are wanted, as in "64 KiB""#
    );
    assert_eq!(
        "64 parsecs".parse::<Size>().unwrap_err().to_string(),
        r#""64 parsecs" is no size: a number and a unit are wanted, as in "64 KiB""#
    );
    assert_eq!(
        "10".parse::<Span>().unwrap_err().to_string(),
        r#""10" is no span, as in "10s" or "250ms": time unit needed, for example 10sec or 10ms"#
    );
}

#[test]
fn what_is_written_is_read_back() {
    for n in [0, 1, 1_023, 1_024, 65_536, 262_144, 4 << 30] {
        assert_eq!(Size(n).to_string().parse(), Ok(Size(n)), "{}", Size(n));
    }
    for ms in [1, 250, 10_000, 90_000] {
        let span = Span(Duration::from_millis(ms));
        assert_eq!(span.to_string().parse(), Ok(span));
    }
}
