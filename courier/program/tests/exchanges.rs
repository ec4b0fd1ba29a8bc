//! Recorded exchanges with the program, byte for byte; each file says what it guards against.

mod common;

macro_rules! exchanges {
    ($($name:ident),* $(,)?) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(stringify!($name), common::play(stringify!($name)));
        })*
    };
}

exchanges! {
    take_on_and_end, outcomes, time_out, could_not_connect, malformed, list_change, kill_and_restart,
    torn_record, half_copy, disk_and_table_full, sigterm, reload,
    smuggling, slow_consumers, crowd, last_look, probed, spoilt_answers, explored,
}
