//! Files that operators write, with every field: a configuration, changes of it, the settings of a process, and the texts
//! that name what is wrong with them.

use miniserde::json;
use quillmount_test_support::fixtures::Fixtures;
use quillmount_wire::configuration::{ClientLimits, Configuration, ConfigurationError, apply_patch};
use quillmount_wire::settings::{PATH_VARIABLE, Settings, SettingsError};
use std::fs;

const FIXTURES: Fixtures = Fixtures::of_package(env!("CARGO_MANIFEST_DIR"));

fn read(name: &str) -> String {
    fs::read_to_string(FIXTURES.path(name)).unwrap()
}

fn configuration() -> Configuration {
    Configuration::read(&read("configuration.json")).unwrap()
}

#[test]
fn a_configuration_gives_its_live_route() {
    let configuration = configuration();
    configuration.check(41).unwrap();
    assert_eq!((configuration.version, configuration.routes.len()), (42, 2));
    let live = &configuration.routes[0];
    assert_eq!((live.name.as_str(), live.host.as_str(), live.prefix.as_str()), ("live", "a.example", "/v1/"));
    assert_eq!(
        (live.mode.as_deref(), live.deadline_ms, live.target_ms),
        (Some("stream"), 4000.5, Some(800.25))
    );
    assert_eq!((live.priority, live.service.as_deref(), live.max_attempts), (Some(-2), None, Some(3)));
    assert_eq!((live.public, live.resumable, live.target_gap_ms), (Some(true), Some(false), Some(55.5)));
    assert_eq!((live.due_ms, live.retain_s, live.max_queued), (None, None, None));
    assert_eq!(live.services(), [("small", 3.0), ("large", 1.5)]);
    assert_eq!(live.waiting_limit(), None);
}

#[test]
fn a_configuration_gives_its_batch_route() {
    let configuration = configuration();
    let batch = &configuration.routes[1];
    assert_eq!(
        (batch.name.as_str(), batch.host.as_str(), batch.prefix.as_str()),
        ("nightly", "a.example", "/jobs")
    );
    assert_eq!((batch.mode.as_deref(), batch.deadline_ms, batch.target_ms), (Some("bulk"), 60000.0, None));
    assert_eq!((batch.priority, batch.service.as_deref(), batch.max_attempts), (None, Some("large"), None));
    assert_eq!((batch.public, batch.resumable, batch.target_gap_ms), (None, None, None));
    assert_eq!((batch.due_ms, batch.retain_s, batch.max_queued), (Some(90000.0), Some(600.0), Some(5000.0)));
    assert_eq!(batch.services(), [("large", 1.0)]);
    assert_eq!(batch.waiting_limit(), Some(5000));
}

#[test]
fn a_configuration_gives_its_services_limits_and_tenants() {
    let configuration = configuration();
    let [small, large] = configuration.services.as_slice() else { panic!("two services") };
    assert_eq!((small.name.as_str(), small.connections), ("small", Some(12.0)));
    let runtime = small.runtime.as_ref().unwrap();
    assert_eq!((runtime.capacity, runtime.token_memory), (Some(8.0), Some(65536.0)));
    let autoscale = small.autoscale.as_ref().unwrap();
    assert_eq!((autoscale.floor, autoscale.ceiling, autoscale.boot_s), (1.0, 5.0, Some(20.0)));
    assert_eq!((large.name.as_str(), large.connections), ("large", None));
    assert!(large.runtime.is_none() && large.autoscale.is_none());
    let limits = configuration.limits.as_ref().unwrap();
    assert_eq!((limits.head_bytes, limits.body_bytes), (1024, 2048));
    assert_eq!((limits.head_ms, limits.idle_ms), (300.0, 1500.0));
    let [first, second] = configuration.tenants.as_deref().unwrap() else { panic!("two tenants") };
    assert_eq!((first.name.as_str(), first.priority), ("t", Some(7)));
    assert_eq!(first.keys.as_deref().unwrap(), ["k1", "k2"]);
    assert_eq!((second.name.as_str(), second.priority, second.keys.is_none()), ("u", None, true));
}

#[test]
fn a_configuration_is_written_with_the_names_it_was_read_with() {
    let written = json::to_string(&configuration());
    FIXTURES.check("configuration-written.json", written.as_bytes());
    let again = Configuration::read(&written).unwrap();
    assert_eq!(json::to_string(&again), written);
}

#[test]
fn limits_of_clients_have_their_defaults() {
    let limits = ClientLimits::default();
    assert_eq!((limits.head_bytes, limits.body_bytes), (16_384, 4_194_304));
    assert_eq!((limits.head_ms, limits.idle_ms), (3000.0, 15_000.0));
    let least = Configuration::read(r#"{"Gen":1,"Routes":[],"Backends":[]}"#).unwrap();
    assert!(least.limits.is_none() && least.tenants.is_none());
}

#[test]
fn a_change_of_named_items_gives_a_whole_configuration() {
    let patched = apply_patch(&read("configuration.json"), &read("configuration-patch.json")).unwrap();
    FIXTURES.check("configuration-patched.json", patched.as_bytes());
    let patched = Configuration::read(&patched).unwrap();
    patched.check(42).unwrap();
    let routes: Vec<&str> = patched.routes.iter().map(|route| route.name.as_str()).collect();
    assert_eq!((patched.version, routes), (43, vec!["live", "new"]));
    assert_eq!(patched.routes[0].deadline_ms, 100.0);
    let services: Vec<&str> = patched.services.iter().map(|service| service.name.as_str()).collect();
    assert_eq!(services, ["small", "large"]);
    let tenants: Vec<&str> = patched.tenants.iter().flatten().map(|tenant| tenant.name.as_str()).collect();
    assert_eq!(tenants, ["t", "v"]);
    assert_eq!(patched.limits.unwrap().head_bytes, 4096);
}

/// A configuration with these routes and tenants, and the service `s`.
fn with(routes: &str, tenants: &str) -> String {
    format!(r#"{{"Gen":3,"Routes":[{routes}],"Backends":[{{"Name":"s"}}],"Accounts":[{tenants}]}}"#)
}

#[test]
fn what_is_wrong_with_a_configuration_is_named() {
    let a = r#"{"Name":"a","Host":"h","PathPrefix":"/","DeadlineMs":1,"Backend":"s"}"#;
    let b = r#"{"Name":"b","Host":"h","PathPrefix":"/","DeadlineMs":1,"Backend":"s"}"#;
    let (lost, late) = (a.replace("\"s\"", "\"gone\""), a.replace(":1,", ":0,"));
    let weightless = a.replace(r#""Backend":"s""#, r#""Shares":[{"Backend":"s","Wt":0}]"#);
    let nameless = a.replace("Host", "Hostess");
    let (t, u) = (r#"{"Name":"t","Apikeys":["k"]}"#, r#"{"Name":"u","Apikeys":["k"]}"#);
    let nested = "[".repeat(70);
    let table = [
        (with(&lost, ""), "Routes[a]: there is no service gone"),
        (with(&format!("{a},{b}"), ""), "Routes[a] and Routes[b] have the same host and prefix"),
        (with(&format!("{a},{a}"), ""), "Routes[a] is there twice"),
        (with(&weightless, ""), "Routes[a].Shares: the weights sum to 0"),
        (with(&late, ""), "Routes[a].DeadlineMs is 0"),
        (with("", &format!("{t},{u}")), "Accounts[t] and Accounts[u] share a key"),
        (with("", &format!("{t},{t}")), "Accounts[t] is there twice"),
        (with("", "").replace(":3,", ":2,"), "Gen: 2 is not above the current 2"),
        (
            with(&nameless, ""),
            "the configuration can't be read: Routes[a] lacks a field or has one of another type",
        ),
        (
            with("", r#"{"Apikeys":["k"]}"#),
            "the configuration can't be read: Accounts[0] lacks a field or has one of another type",
        ),
        (with("", "").replace("[]", "7"), "the configuration can't be read: Routes is no list"),
        ("[]".to_owned(), "the configuration can't be read: not an object"),
        ("{".to_owned(), "the configuration can't be read: not complete JSON"),
        (nested, "the configuration can't be read: nested too deeply"),
        (
            "{}".to_owned(),
            "the configuration can't be read: Gen, Routes, Backends or Limits is missing or of another type",
        ),
    ];
    for (json, expected) in table {
        let error: ConfigurationError =
            Configuration::read(&json).and_then(|read| read.check(2)).unwrap_err();
        assert_eq!(error.to_string(), expected, "{json}");
    }
    let error = apply_patch("{}", "{}").unwrap_err();
    assert_eq!(error.to_string(), "the configuration can't be read: Gen is missing");
}

/// Each number of a configuration has a range, and what is outside it is named; what is inside is taken.
#[test]
fn numbers_of_a_configuration_outside_their_ranges_are_named() {
    const SPAN_MS: &str = "0 and 315360000000";
    const SPAN_S: &str = "0 and 315360000";
    const COUNT: &str = "0 and 4294967295";
    const QUANTITY: &str = "0 and 9007199254740992";
    let route = |fields: &str| {
        let route = r#"{"Name":"a","Host":"h","PathPrefix":"/","DeadlineMs":1,"Backend":"s","#;
        format!(r#"{{"Gen":3,"Routes":[{route}{fields}}}],"Backends":[{{"Name":"s"}}]}}"#)
    };
    let deadline = |value: &str| {
        with(&format!(r#"{{"Name":"a","Host":"h","PathPrefix":"/","DeadlineMs":{value},"Backend":"s"}}"#), "")
    };
    let service = |fields: &str| format!(r#"{{"Gen":3,"Routes":[],"Backends":[{{"Name":"s",{fields}}}]}}"#);
    let limits = |head: &str, idle: &str| {
        format!(
            r#"{{"Gen":3,"Routes":[],"Backends":[],"Limits":{{"HdrBytes":1,"BodyBytes":1,"HdrMs":{head},"IdleMs":{idle}}}}}"#
        )
    };
    let scale = |floor: &str, ceiling: &str, boot: &str| {
        service(&format!(r#""Autoscale":{{"Floor":{floor},"Ceil":{ceiling},"BootS":{boot}}}"#))
    };
    let table = [
        (deadline("-5"), "Routes[a].DeadlineMs: -5", SPAN_MS),
        (deadline("1e300"), "Routes[a].DeadlineMs: 1000", SPAN_MS),
        (route(r#""TargetMs":-0.5"#), "Routes[a].TargetMs: -0.5", SPAN_MS),
        (route(r#""gap_aim_ms":4e11"#), "Routes[a].gap_aim_ms: 400000000000", SPAN_MS),
        (route(r#""DueMs":18446744073709551615"#), "Routes[a].DueMs: 18446744073709552000", SPAN_MS),
        (route(r#""RetainS":1e12"#), "Routes[a].RetainS: 1000000000000", SPAN_S),
        (route(r#""MaxQueued":-1"#), "Routes[a].MaxQueued: -1", QUANTITY),
        (
            route(r#""Shares":[{"Backend":"s","Wt":5},{"Backend":"s","Wt":-5}]"#),
            "Routes[a].Shares[s].Wt: -5",
            QUANTITY,
        ),
        (service(r#""MaxConns":5e9"#), "Backends[s].MaxConns: 5000000000", COUNT),
        (service(r#""Runtime":{"Capacity":-1}"#), "Backends[s].Runtime.Capacity: -1", COUNT),
        (service(r#""Runtime":{"KvCap":1e16}"#), "Backends[s].Runtime.KvCap: 10000000000000000", QUANTITY),
        (scale("-1", "2", "3"), "Backends[s].Autoscale.Floor: -1", COUNT),
        (scale("1", "5e9", "3"), "Backends[s].Autoscale.Ceil: 5000000000", COUNT),
        (scale("1", "2", "-3"), "Backends[s].Autoscale.BootS: -3", SPAN_S),
        (limits("-1", "1"), "Limits.HdrMs: -1", SPAN_MS),
        (limits("1", "4e11"), "Limits.IdleMs: 400000000000", SPAN_MS),
    ];
    for (json, field, range) in table {
        let error = Configuration::read(&json).and_then(|read| read.check(2)).unwrap_err().to_string();
        assert!(
            error.starts_with(field) && error.ends_with(&format!(" is not between {range}")),
            "{error}, {json}"
        );
    }
    let largest = route(
        r#""TargetMs":315360000000,"DueMs":0,"RetainS":315360000,"MaxQueued":9007199254740992,"Tries":18446744073709551615"#,
    );
    Configuration::read(&largest).and_then(|read| read.check(2)).unwrap();
}

/// The same for the settings of a process.
#[test]
fn numbers_of_settings_outside_their_ranges_are_named() {
    let least = read("settings-least.toml");
    let ms = ["ContactMs", "AckMs", "DrainMs", "ApplyMs", "LeaseMs", "AbortMs"];
    let s = ["GraceS", "ReportS", "UsageDelayS", "PollS", "CompleteS"];
    for name in ms.into_iter().chain(s) {
        for value in ["-1", "nan", "inf", "1e13"] {
            let text = least.replace("[Slo]", &format!("[Slo]\n{name} = {value}"));
            let error = Settings::parse(&text, "f.toml").unwrap_err().to_string();
            assert!(error.starts_with(&format!("f.toml: Slo.{name}: ")), "{error}, {value}");
        }
    }
    let boxes = least.replace("Boxes = 1", "Boxes = 9223372036854775807");
    assert_ne!(boxes, least);
    let error = Settings::parse(&boxes, "f.toml").unwrap_err().to_string();
    assert!(error.starts_with("f.toml: Survive.Boxes: "), "{error}");
}

#[test]
fn settings_give_all_their_values() {
    let settings = Settings::parse(&read("settings.toml"), "settings.toml").unwrap();
    assert_eq!((settings.hostname.as_str(), settings.bind_ip.as_str()), ("node-a-1", "10.1.0.14"));
    assert_eq!((settings.zone.as_str(), settings.region.as_str()), ("a", "r"));
    assert_eq!(settings.port_range, [7360, 7375]);
    assert_eq!(settings.seeds, ["10.1.0.14:8683", "10.2.0.22:8683"]);
    assert_eq!((settings.bootstrap, settings.counts_for_quorum), (true, true));
    assert_eq!(settings.data_folder(), Some("/data/x"));
    let sockets = &settings.sockets;
    assert_eq!(
        (sockets.http.as_deref(), sockets.readyz.as_deref()),
        (Some("10.1.0.14:8689"), Some("10.1.0.14:8690"))
    );
    assert_eq!(sockets.admin.as_deref(), Some("10.1.0.14:8683"));
    let limits = &settings.limits;
    assert_eq!((limits.cpu_frac, limits.ram_mb, limits.open_files, limits.disk_mb), (0.45, 260, 4100, 512));
    assert_eq!(settings.fault_tolerance.machines, 2);
    let bounds = &settings.slo;
    assert_eq!((bounds.contact_ms, bounds.ack_ms, bounds.drain_ms, bounds.grace_s), (1.0, 2.0, 3.0, 4.0));
    assert_eq!(
        (bounds.apply_ms, bounds.lease_ms, bounds.report_s, bounds.usage_delay_s),
        (5.0, 6.0, 7.0, 8.0)
    );
    assert_eq!((bounds.poll_s, bounds.complete_s, bounds.abort_ms), (9.0, 10.0, 11.0));
    let cloud = settings.cloud_api.as_ref().unwrap();
    assert_eq!(
        (cloud.address.as_str(), cloud.singleton_roles.as_slice()),
        ("10.3.0.1:80", ["one".to_owned()].as_slice())
    );
    let zones: Vec<(&str, &str)> =
        settings.zones.iter().map(|(zone, region)| (zone.as_str(), region.as_str())).collect();
    assert_eq!(zones, [("a", "r"), ("b", "q")]);
}

#[test]
fn settings_without_optional_fields_have_their_defaults() {
    let settings = Settings::parse(&read("settings-least.toml"), "settings-least.toml").unwrap();
    assert_eq!((settings.region.as_str(), settings.seeds.len()), ("", 0));
    assert_eq!((settings.bootstrap, settings.counts_for_quorum, settings.data_folder()), (false, true, None));
    let sockets = &settings.sockets;
    assert!(sockets.http.is_none() && sockets.readyz.is_none() && sockets.admin.is_none());
    assert_eq!((settings.limits.cpu_frac, settings.limits.disk_mb), (1.0, 0));
    let bounds = &settings.slo;
    assert_eq!(
        (bounds.contact_ms, bounds.ack_ms, bounds.drain_ms, bounds.grace_s),
        (3000.0, 4000.0, 3000.0, 8.0)
    );
    assert_eq!((bounds.apply_ms, bounds.lease_ms, bounds.report_s), (2000.0, 3000.0, 5.0));
    assert_eq!((bounds.usage_delay_s, bounds.poll_s), (10.0, 120.0));
    assert_eq!((bounds.complete_s, bounds.abort_ms), (10.0, 3000.0));
    assert!(settings.cloud_api.is_none() && settings.zones.is_empty());
}

#[test]
fn errors_of_settings_name_the_file_or_the_variable() {
    assert_eq!(PATH_VARIABLE, "QUILLMOUNT_NODE_FILE");
    assert_eq!(
        SettingsError::NoPath(PATH_VARIABLE).to_string(),
        "the variable QUILLMOUNT_NODE_FILE is not set"
    );
    let least = read("settings-least.toml");
    let zero = least.replace("[Slo]", "[Slo]\nReportS = 0");
    let error = Settings::parse(&zero, "f.toml").unwrap_err();
    assert_eq!(error.to_string(), "f.toml: Slo.ReportS: has to be above 0");
    let reversed = least.replace("[1, 2]", "[2, 1]");
    let error = Settings::parse(&reversed, "f.toml").unwrap_err();
    assert_eq!(error.to_string(), "f.toml: PortRange: the first port is above the second");
}
