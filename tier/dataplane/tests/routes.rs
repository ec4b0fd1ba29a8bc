//! Tests of route lookup, of authentication by key, and of the choice of a service.

use quillmount_dataplane::routes::{Access, CompiledRoute, RouteMode, RouteTable, ServiceDraws};
use quillmount_wire::configuration::{Configuration, Route, WeightedService};

const CONFIGURATION: &str = r#"{"Gen":3,"Routes":[
  {"Name":"short","Host":"a.example","PathPrefix":"/x/","Mode":"stream","DeadlineMs":4000,"Prio":2,"Backend":"s","Tries":2},
  {"Name":"long","Host":"a.example","PathPrefix":"/x/y/","Mode":"bulk","DeadlineMs":4000,"Shares":[{"Backend":"s","Wt":90},{"Backend":"t","Wt":10}]},
  {"Name":"open","Host":"b.example","PathPrefix":"/","Mode":"safe","DeadlineMs":4000,"Backend":"s","Public":true}],
 "Backends":[{"Name":"s","MaxConns":120},{"Name":"t"}],
 "Accounts":[{"Name":"kaje","Apikeys":["k1","k2"],"Prio":1},{"Name":"vopu","Apikeys":["k3"]}]}"#;

fn table() -> RouteTable {
    RouteTable::compile(&Configuration::parse(CONFIGURATION).unwrap())
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let table = table();
    let route_name = |host, path| table.find(host, path).map(|route| route.route.name.clone());
    assert_eq!(route_name("a.example", "/x/q").as_deref(), Some("short"));
    assert_eq!(route_name("A.example:80", "/x/y/q?z=/x/").as_deref(), Some("long"));
    assert_eq!(route_name("a.example", "/x").as_deref(), None);
    assert_eq!(route_name("b.example", "/x/").as_deref(), Some("open"));
    assert_eq!(route_name("c.example", "/x/").as_deref(), None);
    assert_eq!(table.by_name("long").unwrap().mode, RouteMode::Bulk);
}

#[test]
fn the_route_of_a_job_is_found_by_its_name_or_at_its_place() {
    let table = table();
    let name = |name, path| table.of_job(name, "a.example", path).map(|route| route.route.name.as_str());
    assert_eq!(name("long", "/x/y/1"), Some("long"));
    assert_eq!(name("long", "/moved/1"), Some("long"));
    assert_eq!(name("renamed", "/x/y/1"), Some("long"));
    assert_eq!(name("renamed", "/x/1"), None, "the route there is not for batch jobs");
    assert_eq!(name("renamed", "/moved/1"), None);
}

#[test]
fn keys_name_their_tenant_and_unknown_ones_are_denied() {
    let table = table();
    assert_eq!(table.authenticate(Some("Token k2"), false), Access::Tenant("kaje".into()));
    assert_eq!(table.authenticate(Some("Token k9"), false), Access::Denied);
    assert_eq!(table.authenticate(Some("k1"), false), Access::Denied);
    assert_eq!(table.authenticate(None, false), Access::Denied);
    assert_eq!(table.authenticate(None, true), Access::Anonymous);
    let route = table.by_name("short").unwrap();
    assert_eq!((table.priority(Some("kaje"), route), table.priority(Some("vopu"), route)), (1, 2));
}

#[test]
fn requests_are_divided_between_services_by_weight() {
    let table = table();
    let route = table.by_name("long").unwrap();
    let first = (0..1000).filter(|draw| route.pick_service(f64::from(*draw) / 1000.0) == Some("s")).count();
    assert_eq!(first, 900);
}

/// With thirty requests at each of ten couriers, the fraction of each service is within 0.02 of its weight. Independent draws deviate
/// by more than that in most groups of a hundred requests.
#[test]
fn shares_hold_after_a_few_hundred_requests_at_many_couriers() {
    for weight in [1.0, 10.0, 25.0, 50.0, 90.0] {
        let route = CompiledRoute::from(&Route {
            name: "r".to_owned(),
            shares: Some(vec![
                WeightedService { service: "a".to_owned(), weight },
                WeightedService { service: "b".to_owned(), weight: 100.0 - weight },
            ]),
            ..Route::default()
        });
        let mut first_service_requests = 0;
        for courier in 0..10 {
            let mut draws = ServiceDraws::with_offset(f64::from(courier) * 0.377 % 1.0);
            first_service_requests +=
                (0..30).filter(|_| route.pick_service(draws.next("r")) == Some("a")).count();
        }
        let fraction = first_service_requests as f64 / 300.0;
        assert!((fraction - weight / 100.0).abs() < 0.02, "fraction {fraction} for weight {weight}");
    }
}
