//! Both kinds of breaks: with the feature, at most one is enabled; without it, none can be.

use quillmount_breaks::BreakError;

mod thread_breaks {
    quillmount_breaks::breaks! {
        for each thread:
        /// Breaks of these tests.
        pub enum Break {
            /// The first one.
            First,
            /// The second one.
            Second,
        }
    }
}

mod process_breaks {
    quillmount_breaks::breaks! {
        for the process:
        /// Breaks of these tests.
        pub enum Break {
            First: "first", "the first one";
            Second: "second", "the second one";
        }
    }
}

#[test]
fn all_breaks_are_listed() {
    assert_eq!(thread_breaks::ALL, [thread_breaks::Break::First, thread_breaks::Break::Second]);
    assert_eq!(process_breaks::ALL, [("first", "the first one"), ("second", "the second one")]);
}

#[test]
fn an_unknown_name_is_an_error() {
    assert_eq!(process_breaks::enable("third"), Err(BreakError::UnknownName("third".to_owned())));
}

#[cfg(feature = "breaks")]
#[test]
fn a_break_of_a_thread_is_enabled_for_this_thread_alone() {
    use thread_breaks::{Break, is_enabled, set};
    assert!(!is_enabled(Break::First) && !is_enabled(Break::Second));
    set(Some(Break::First));
    set(Some(Break::Second));
    assert!(!is_enabled(Break::First) && is_enabled(Break::Second));
    std::thread::spawn(|| assert!(!is_enabled(Break::Second))).join().unwrap();
    set(None);
    assert!(!is_enabled(Break::Second));
}

#[cfg(feature = "breaks")]
#[test]
fn a_break_of_the_process_is_enabled_for_every_thread() {
    use process_breaks::{Break, disable, enable, is_enabled};
    assert!(!is_enabled(Break::First) && !is_enabled(Break::Second));
    enable("first").unwrap();
    enable("second").unwrap();
    assert!(!is_enabled(Break::First) && is_enabled(Break::Second));
    std::thread::spawn(|| assert!(is_enabled(Break::Second))).join().unwrap();
    disable();
    assert!(!is_enabled(Break::Second));
}

#[cfg(not(feature = "breaks"))]
#[test]
fn without_the_feature_every_break_is_off_at_compile_time() {
    const _: () = assert!(!thread_breaks::is_enabled(thread_breaks::Break::First));
    const _: () = assert!(!process_breaks::is_enabled(process_breaks::Break::First));
    assert_eq!(process_breaks::enable("first"), Err(BreakError::NotBuilt));
    process_breaks::disable();
}
