//! A configuration as operators send it: every key that is read, where its value goes, and which key an error names.

use archlink_config::{Configuration, Route, Service, Tenant, WeightedService};
use serde_json::{Value, json};

fn whole_text() -> Value {
    json!({
        "ConfigVersion": "0000001f",
        "RouteTable": {
            "ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "Timeout", "Target", "Precedence",
                "Distribution", "MaxAttempts", "Public", "HomeRegions", "Service"],
            "Records": [
                ["read", "Reports.example", "/read/", "idempotent", "2000ms", "500ms", 2,
                    [{"Service": "old", "Weight": 90}, {"Service": "new", "Weight": 10.5}], 3, true,
                    ["coast", "inland"], null],
                ["write", "reports.example", "/write/", "non_idempotent", null, null, null, null, null, null, null,
                    "old"],
            ],
        },
        "ServiceTable": {
            "ColumnNames": ["Designation", "HealthPath", "MaxConnections", "ColdPeriod", "ColdRateS"],
            "Records": [["old", "/alive", 110, "3s", 7.5], ["new", null, null, null, null]],
        },
        "Limits": {"MaxBodyBytes": 1000, "HeaderTimeout": "4s", "IdleTimeout": "20500ms"},
        "Subscribers": {
            "ColumnNames": ["Designation", "Credentials", "Precedence", "RatePerS", "BurstSize", "HomeRegions"],
            "Records": [["lab", ["key-1", "key-2"], 4, 76.5, 80, ["coast"]], ["guest", null, null, null, null, null]],
        },
    })
}

#[test]
fn every_key_of_a_configuration_is_read_into_its_field() {
    let chart = Configuration::read(whole_text().to_string().as_bytes()).unwrap();
    assert_eq!((chart.version, chart.keyed), (0x1f, true));
    assert_eq!((chart.max_body, chart.header_timeout, chart.idle_timeout), (1000, 4.0, 20.5));

    let [read, write] = chart.routes.as_slice() else { panic!("{:?}", chart.routes) };
    let Route {
        name,
        origin,
        path_prefix: prefix,
        idempotent: repeatable,
        timeout,
        latency_target: goal,
        priority: rank,
        distribution: shares,
        max_attempts: attempts,
        public,
        home_regions: homes,
    } = read;
    assert_eq!((name.as_str(), origin.as_str(), prefix.as_str()), ("read", "reports.example", "/read/"));
    assert_eq!((*repeatable, *timeout, *goal, *rank), (true, 2.0, 0.5, 2));
    let share = |service: &str, weight| WeightedService { service: service.into(), weight };
    assert_eq!(shares, &[share("old", 90.0), share("new", 10.5)]);
    assert_eq!((*attempts, *public), (3, true));
    assert_eq!(homes, &["coast", "inland"]);
    assert_eq!((write.name.as_str(), write.path_prefix.as_str()), ("write", "/write/"));
    assert_eq!(
        (write.idempotent, write.timeout, write.latency_target),
        (false, f64::INFINITY, f64::INFINITY)
    );
    assert_eq!(
        (write.priority, write.max_attempts, write.public, write.home_regions.len()),
        (255, 1, false, 0)
    );
    assert_eq!(write.distribution, [share("old", 1.0)]);

    assert_eq!(chart.services.len(), 2);
    let Service {
        name,
        health_path,
        max_connections: connections,
        warm_up_period: cold_period,
        warm_up_rate: cold_rate,
    } = &chart.services["old"];
    assert_eq!((name.as_str(), health_path.as_str(), *connections), ("old", "/alive", 110));
    assert_eq!((*cold_period, *cold_rate), (3.0, 7.5));
    let new = &chart.services["new"];
    assert_eq!(
        (new.name.as_str(), new.health_path.as_str(), new.max_connections),
        ("new", "/health", usize::MAX)
    );
    assert_eq!((new.warm_up_period, new.warm_up_rate), (0.0, 0.0));

    let [lab, guest] = chart.tenants.as_slice() else { panic!("{:?}", chart.tenants) };
    let Tenant { name, keys, priority: rank, rate, burst, homes } = lab;
    assert_eq!((name.as_str(), *rank, *rate, *burst), ("lab", Some(4), 76.5, 80.0));
    assert_eq!(
        (keys.as_slice(), homes.as_slice()),
        (&["key-1".into(), "key-2".into()][..], &["coast".into()][..])
    );
    assert_eq!((guest.name.as_str(), guest.priority, guest.rate, guest.burst), ("guest", None, 0.0, 0.0));
    assert_eq!((guest.keys.len(), guest.homes.len()), (0, 0));
}

#[test]
fn optional_tables_that_are_left_out_have_these_values() {
    let mut text = whole_text();
    for key in ["Limits", "Subscribers"] {
        text.as_object_mut().unwrap().remove(key).unwrap();
    }
    let chart = Configuration::read(text.to_string().as_bytes()).unwrap();
    assert_eq!((chart.keyed, chart.tenants.len(), chart.max_body), (false, 0, 64 << 20));
    assert_eq!((chart.header_timeout, chart.idle_timeout), (3.0, 15.0));
}

#[test]
fn a_value_that_is_not_allowed_is_refused_with_its_key_and_what_is_allowed() {
    let time = "a time such as 1500ms or 2.5s";
    for (at, value, key, found, allowed) in [
        ("/ConfigVersion", json!("12x"), "ConfigVersion", "12x", "hexadecimal digits"),
        ("/RouteTable", json!(null), "RouteTable", "nothing", "a table"),
        ("/ServiceTable", json!(null), "ServiceTable", "nothing", "a table"),
        ("/Limits/HeaderTimeout", json!("4"), "Limits.HeaderTimeout", "4", time),
        ("/Limits/IdleTimeout", json!("4"), "Limits.IdleTimeout", "4", time),
        ("/RouteTable/Records/0/4", json!("4"), "RouteTable.read.Timeout", "4", time),
        ("/RouteTable/Records/0/4", json!("0s"), "RouteTable.read.Timeout", "0", "a time above 0"),
        ("/RouteTable/Records/0/5", json!("4"), "RouteTable.read.Target", "4", time),
        ("/RouteTable/Records/0/8", json!(0), "RouteTable.read.MaxAttempts", "0", "1 or more"),
        (
            "/RouteTable/Records/0/7/0/Weight",
            json!(-1),
            "RouteTable.read.Distribution.Weight",
            "-1",
            "0 or more",
        ),
        (
            "/RouteTable/Records/0/7",
            json!([{"Service": "old", "Weight": 0}]),
            "RouteTable.read.Distribution",
            "no weight above 0",
            "a weight above 0",
        ),
        (
            "/RouteTable/Records/0/11",
            json!("old"),
            "RouteTable.read.Service",
            "both or neither",
            "Service or Distribution",
        ),
        (
            "/RouteTable/Records/1/11",
            json!("x"),
            "RouteTable.write.Service",
            "x",
            "a service of ServiceTable",
        ),
        (
            "/RouteTable/Records/1/2",
            json!("x"),
            "RouteTable.write.PathPrefix",
            "x",
            "a path that begins with a slash",
        ),
        (
            "/RouteTable/Records/1/2",
            json!("/read/"),
            "RouteTable.write.PathPrefix",
            "reports.example/read/ a second time",
            "a host and prefix of its own",
        ),
        ("/ServiceTable/Records/0/3", json!("3"), "ServiceTable.old.ColdPeriod", "3", time),
        ("/ServiceTable/Records/0/4", json!(-1), "ServiceTable.old.ColdRateS", "-1", "0 or more"),
        (
            "/Subscribers/Records/1/1",
            json!(["key-2"]),
            "Subscribers.guest.Credentials",
            "a key a second time",
            "keys that nobody else holds",
        ),
        ("/Subscribers/Records/0/3", json!(-1), "Subscribers.lab.RatePerS", "-1", "0 or more"),
        ("/Subscribers/Records/0/4", json!(-1), "Subscribers.lab.RatePerS", "-1", "0 or more"),
        (
            "/Subscribers/Records/1",
            json!(["guest"]),
            "Subscribers.Records.1",
            "1 values",
            "a value for each of ColumnNames",
        ),
    ] {
        let mut text = whole_text();
        *text.pointer_mut(at).unwrap() = value;
        let refused = Configuration::read(text.to_string().as_bytes()).unwrap_err();
        let error = refused.current_context();
        assert_eq!((error.key.as_str(), error.found.as_str(), error.allowed), (key, found, allowed), "{at}");
    }
    let refused = Configuration::read(b"\xff").unwrap_err();
    assert_eq!(
        (refused.current_context().key.as_str(), refused.current_context().allowed),
        ("configuration", "UTF-8")
    );
}

/// A wrong type in a row names the table and the row; elsewhere the error names the key in its text.
#[test]
fn a_value_of_another_type_is_refused_with_its_place() {
    for table in ["RouteTable", "ServiceTable", "Subscribers"] {
        let columns = whole_text()[table]["ColumnNames"].as_array().unwrap().len();
        for column in 0..columns {
            let mut text = whole_text();
            text[table]["Records"][0][column] = json!({"Unexpected": 1});
            let refused = Configuration::read(text.to_string().as_bytes()).unwrap_err();
            let error = refused.current_context();
            let place = format!("{table}.Records.0");
            assert_eq!(
                (error.key.as_str(), error.allowed),
                (place.as_str(), "the fields of its table"),
                "{column}"
            );
        }
    }
    for (at, value) in [
        ("ConfigVersion", json!(1)),
        ("RouteTable.ColumnNames", json!("a")),
        ("ServiceTable.Records", json!("a")),
        ("Subscribers.Records", json!("a")),
        ("Limits.MaxBodyBytes", json!("a")),
        ("Limits.HeaderTimeout", json!(1)),
        ("Limits.IdleTimeout", json!(1)),
    ] {
        let mut text = whole_text();
        *text.pointer_mut(&format!("/{}", at.replace('.', "/"))).unwrap() = value;
        let refused = Configuration::read(text.to_string().as_bytes()).unwrap_err();
        let error = refused.current_context();
        assert_eq!((error.key.as_str(), error.allowed), ("configuration", "a whole configuration"));
        assert!(error.found.contains(&format!("{at}:")), "{at}: {error}");
    }
}

/// A row without a field that each row needs names that field.
#[test]
fn a_row_without_a_needed_column_is_refused_by_the_name_of_the_column() {
    for (table, columns) in [
        ("RouteTable", &["Designation", "Origin", "PathPrefix", "Category"][..]),
        ("ServiceTable", &["Designation"]),
        ("Subscribers", &["Designation"]),
    ] {
        for column in columns {
            let mut text = whole_text();
            let names = text[table]["ColumnNames"].as_array_mut().unwrap();
            *names.iter_mut().find(|name| *name == column).unwrap() = json!("Other");
            let refused = Configuration::read(text.to_string().as_bytes()).unwrap_err();
            let error = refused.current_context();
            let expected = (format!("{table}.Records.0"), format!("missing field `{column}`"));
            assert_eq!((error.key.clone(), error.found.clone()), expected);
        }
    }
}
