//! The operator file and its schema as files: every section with every field is read to the same values and written as the
//! same text. `WRITE_FIXTURES=1` writes the files anew.

use quillmount_operator::fleet::{
    Fleet, FleetBudget, FleetMember, FleetSettlement, FleetTenant, OnMissing, SettlementMode,
};
use quillmount_operator::units::{Size, Span};
use quillmount_operator::{Log, LogFormat, Operator, Pace, Streams};
use quillmount_test_support::fixtures::Fixtures;
use std::time::Duration;

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

fn ms(n: u64) -> Span {
    Span(Duration::from_millis(n))
}

/// No field has the value that it has by default.
fn fleet() -> Fleet {
    let member = |name: &str, n: u8, host: &str| FleetMember {
        name: name.into(),
        addr: format!("127.0.0.1:{}", 7_200 + u16::from(n)),
        host: host.into(),
    };
    let tenant =
        |name: &str, weight, floor, ceiling| FleetTenant { name: name.into(), weight, floor, ceiling };
    Fleet {
        on: true,
        me: "a".into(),
        listen: "127.0.0.1:7201".into(),
        members: vec![member("a", 1, "h1"), member("b", 2, ""), member("c", 3, "h2")],
        voters: vec!["a".into(), "b".into(), "c".into()],
        lease: ms(2_500),
        drift: 0.02,
        copies: 2,
        on_missing: OnMissing::Prefer,
        budgets: vec![
            FleetBudget {
                dest: 7,
                connections: 40,
                calls: Some(300),
                span: Some(ms(1_000)),
                courier_floor: 2,
                tenants: vec![tenant("north", 2.5, 3, Some(9)), tenant("south", 1.0, 0, None)],
            },
            FleetBudget {
                dest: 8,
                connections: 4,
                calls: None,
                span: None,
                courier_floor: 0,
                tenants: Vec::new(),
            },
        ],
        partner_idle: ms(1_500),
        settlements: vec![FleetSettlement { dest: 7, mode: SettlementMode::Message }],
        partner_call: ms(4_000),
        beyond_loopback: true,
    }
}

fn streams() -> Streams {
    Streams {
        on: true,
        classes: vec!["fee-debit".into()],
        largest: Size(1 << 30),
        longest: ms(90_000),
        window: Size(64 << 10),
        memory: Size(8 << 20),
        share_of_slots: 0.25,
        share_of_window: 0.75,
        turn: Size(512 << 10),
        client: Pace { stall: ms(10_000), least: Size(2 << 10), interval: ms(20_000) },
        endpoint: Pace { stall: ms(11_000), least: Size(3 << 10), interval: ms(21_000) },
    }
}

fn with_fleet() -> Operator {
    Operator {
        schema: Some("schema.json".into()),
        version: 1,
        log: Log { format: LogFormat::Json, filter: "info,quillmount=debug".into() },
        streams: Streams { on: false, ..streams() },
        fleet: fleet(),
    }
}

fn with_streams() -> Operator {
    Operator {
        log: Log { format: LogFormat::Text, filter: "warn".into() },
        streams: streams(),
        ..Operator::default()
    }
}

#[test]
fn files_are_read_and_written_as_ever() {
    for (name, operator) in [
        ("operator_default.json", Operator::default()),
        ("operator_fleet.json", with_fleet()),
        ("operator_streams.json", with_streams()),
    ] {
        let text = serde_json::to_string_pretty(&operator).unwrap() + "\n";
        let stored = FIXTURES.check(name, text.as_bytes());
        assert_eq!(Operator::parse(&stored).unwrap(), operator, "{name}");
    }
}

/// A mode that is read, and refused for what it says alone.
#[test]
fn the_mode_that_is_not_carried_yet_is_written_as_ever() {
    let settlement = FleetSettlement { dest: 7, mode: SettlementMode::Session };
    let text = serde_json::to_string(&settlement).unwrap();
    assert_eq!(text, r#"{"dest":7,"mode":"session"}"#);
    assert_eq!(serde_json::from_str::<FleetSettlement>(&text).unwrap(), settlement);
    assert_eq!(serde_json::to_string(&OnMissing::Require).unwrap(), r#""require""#);
}

#[test]
fn the_schema_is_the_same_as_ever() {
    FIXTURES.check("operator_schema.json", Operator::schema_text().as_bytes());
}
