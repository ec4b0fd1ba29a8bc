//! The arguments of the examples that take two numbers.

/// The two numbers that the example was started with. Where one is missing, it says what is wanted and ends with status 2.
pub fn two_numbers(example: &str, wanted: &str) -> [u64; 2] {
    let mut arguments = std::env::args().skip(1).map(|argument| argument.parse::<u64>());
    let (Some(Ok(first)), Some(Ok(second))) = (arguments.next(), arguments.next()) else {
        eprintln!("{example}: {wanted}");
        std::process::exit(2);
    };
    [first, second]
}
