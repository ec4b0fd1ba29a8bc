//! The files that a fleet's couriers are started with.

use quillmount_standins::fleet::{Fleet, FleetError, FleetSetup, run_test};
use quillmount_standins::partner::Answer;
use serde_json::{Value, json};
use std::io::ErrorKind;
use std::net::SocketAddr;

fn read(fleet: &Fleet, courier: usize, name: &str) -> Value {
    let path = fleet.folder(courier).with_file_name(name);
    serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap()
}

#[test]
fn each_courier_reaches_the_others_by_its_own_links() {
    run_test(async || {
        let mut setup = FleetSetup::new("no-such-program", 4);
        setup.fleet = Some(json!({"lease": "2s", "copies": 1}));
        setup.configs.insert(3, json!({"limits": {"disk_mb": 0.1}}));
        setup.partner(7, |_| Answer::ok());
        let mut fleet = Fleet::prepare(setup).unwrap();
        let addr = |value: &Value| value.as_str().unwrap().parse::<SocketAddr>().unwrap();
        for n in 0..4 {
            let section = read(&fleet, n, "operator.json")["fleet"].clone();
            assert_eq!((&section["on"], &section["me"]), (&json!(true), &json!(fleet.name(n))));
            assert_eq!((&section["lease"], &section["voters"]), (&json!("2s"), &json!(["a", "b", "c"])));
            assert_eq!(addr(&section["listen"]), fleet.listen(n));
            for to in 0..4 {
                let member = &section["members"][to];
                assert_eq!(member["name"], json!(fleet.name(to)));
                let by = if to == n { fleet.listen(n) } else { fleet.link(n, to).addr() };
                assert_eq!(addr(&member["addr"]), by);
            }
            let config = read(&fleet, n, "config.json");
            assert_eq!(addr(&config["listen"]), fleet.addr(n));
            assert_eq!(addr(&config["discovery"]), fleet.platform.addr(n));
            assert_eq!(addr(&config["known"]["servers"][0]["addr"]), fleet.partner(0).addr(n));
            assert_eq!(config["limits"]["disk_mb"].as_f64(), Some(if n == 3 { 0.1 } else { 3.0 }));
        }
        fleet.configure_operator(2, &json!({"fleet": {"copies": 2}})).unwrap();
        let section = read(&fleet, 2, "operator.json")["fleet"].clone();
        assert_eq!((&section["copies"], &section["lease"]), (&json!(2), &json!("2s")));
        let error = fleet.spawn(0).unwrap_err();
        assert!(
            matches!(&error, FleetError::Spawn { source, .. } if source.kind() == ErrorKind::NotFound),
            "{error}"
        );
    });
}

#[test]
fn an_operator_file_has_no_fleet_section_unless_configured() {
    run_test(async || {
        let fleet = Fleet::prepare(FleetSetup::new("no-such-program", 2)).unwrap();
        assert_eq!(read(&fleet, 0, "operator.json"), json!({"version": 1}));
    });
}
