//! Configurations as operators send them: the field that each key is read into, the key and text of each error, and the
//! look-ups of routes and tenants.

use archlink_config::{Configuration, Route, Service, Tenant, WeightedService};
use serde_json::{Value, json};

fn complete_configuration() -> Value {
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
    let configuration = Configuration::read(complete_configuration().to_string().as_bytes()).unwrap();
    assert_eq!((configuration.version, configuration.keyed), (0x1f, true));
    assert_eq!(
        (configuration.max_body, configuration.header_timeout, configuration.idle_timeout),
        (1000, 4.0, 20.5)
    );

    let [read, write] = configuration.routes.as_slice() else { panic!("{:?}", configuration.routes) };
    let Route {
        name,
        origin,
        path_prefix,
        idempotent,
        timeout,
        latency_target,
        priority,
        distribution,
        max_attempts,
        public,
        home_regions,
    } = read;
    assert_eq!((name.as_str(), origin.as_str(), path_prefix.as_str()), ("read", "reports.example", "/read/"));
    assert_eq!((*idempotent, *timeout, *latency_target, *priority), (true, 2.0, 0.5, 2));
    let weighted = |service: &str, weight| WeightedService { service: service.into(), weight };
    assert_eq!(distribution, &[weighted("old", 90.0), weighted("new", 10.5)]);
    assert_eq!((*max_attempts, *public), (3, true));
    assert_eq!(home_regions, &["coast", "inland"]);
    assert_eq!((write.name.as_str(), write.path_prefix.as_str()), ("write", "/write/"));
    assert_eq!(
        (write.idempotent, write.timeout, write.latency_target),
        (false, f64::INFINITY, f64::INFINITY)
    );
    assert_eq!(
        (write.priority, write.max_attempts, write.public, write.home_regions.len()),
        (255, 1, false, 0)
    );
    assert_eq!(write.distribution, [weighted("old", 1.0)]);

    assert_eq!(configuration.services.len(), 2);
    let Service { name, health_path, max_connections, warm_up_period, warm_up_rate } =
        &configuration.services["old"];
    assert_eq!((name.as_str(), health_path.as_str(), *max_connections), ("old", "/alive", 110));
    assert_eq!((*warm_up_period, *warm_up_rate), (3.0, 7.5));
    let new = &configuration.services["new"];
    assert_eq!(
        (new.name.as_str(), new.health_path.as_str(), new.max_connections),
        ("new", "/health", usize::MAX)
    );
    assert_eq!((new.warm_up_period, new.warm_up_rate), (0.0, 0.0));

    let [lab, guest] = configuration.tenants.as_slice() else { panic!("{:?}", configuration.tenants) };
    let Tenant { name, keys, priority, rate, burst, home_regions } = lab;
    assert_eq!((name.as_str(), *priority, *rate, *burst), ("lab", Some(4), 76.5, 80.0));
    assert_eq!(
        (keys.as_slice(), home_regions.as_slice()),
        (&["key-1".into(), "key-2".into()][..], &["coast".into()][..])
    );
    assert_eq!((guest.name.as_str(), guest.priority, guest.rate, guest.burst), ("guest", None, 0.0, 0.0));
    assert_eq!((guest.keys.len(), guest.home_regions.len()), (0, 0));
}

#[test]
fn missing_optional_tables_have_default_values() {
    let mut text = complete_configuration();
    for key in ["Limits", "Subscribers"] {
        text.as_object_mut().unwrap().remove(key).unwrap();
    }
    let configuration = Configuration::read(text.to_string().as_bytes()).unwrap();
    assert_eq!(
        (configuration.keyed, configuration.tenants.len(), configuration.max_body),
        (false, 0, 64 << 20)
    );
    assert_eq!((configuration.header_timeout, configuration.idle_timeout), (3.0, 15.0));
}

#[test]
fn value_that_is_not_allowed_is_rejected_with_key_and_allowed_values() {
    let time = "a time such as 1500ms or 2.5s";
    for (pointer, value, key, found, allowed) in [
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
        let mut text = complete_configuration();
        *text.pointer_mut(pointer).unwrap() = value;
        let rejected = Configuration::read(text.to_string().as_bytes()).unwrap_err();
        let error = rejected.current_context();
        assert_eq!(
            (error.key.as_str(), error.found.as_str(), error.allowed),
            (key, found, allowed),
            "{pointer}"
        );
    }
    let rejected = Configuration::read(b"\xff").unwrap_err();
    assert_eq!(
        (rejected.current_context().key.as_str(), rejected.current_context().allowed),
        ("configuration", "UTF-8")
    );
}

/// The error for a wrong type in a row has the table and the row as its key; elsewhere its text names the key.
#[test]
fn value_of_wrong_type_is_rejected_with_its_table_and_row_or_key() {
    for table in ["RouteTable", "ServiceTable", "Subscribers"] {
        let columns = complete_configuration()[table]["ColumnNames"].as_array().unwrap().len();
        for column in 0..columns {
            let mut text = complete_configuration();
            text[table]["Records"][0][column] = json!({"Unexpected": 1});
            let rejected = Configuration::read(text.to_string().as_bytes()).unwrap_err();
            let error = rejected.current_context();
            let row_key = format!("{table}.Records.0");
            assert_eq!(
                (error.key.as_str(), error.allowed),
                (row_key.as_str(), "the fields of its table"),
                "column {column} of {table}"
            );
        }
    }
    for (key_path, value) in [
        ("ConfigVersion", json!(1)),
        ("RouteTable.ColumnNames", json!("a")),
        ("ServiceTable.Records", json!("a")),
        ("Subscribers.Records", json!("a")),
        ("Limits.MaxBodyBytes", json!("a")),
        ("Limits.HeaderTimeout", json!(1)),
        ("Limits.IdleTimeout", json!(1)),
    ] {
        let mut text = complete_configuration();
        *text.pointer_mut(&format!("/{}", key_path.replace('.', "/"))).unwrap() = value;
        let rejected = Configuration::read(text.to_string().as_bytes()).unwrap_err();
        let error = rejected.current_context();
        assert_eq!((error.key.as_str(), error.allowed), ("configuration", "a whole configuration"));
        assert!(error.found.contains(&format!("{key_path}:")), "{key_path}: {error}");
    }
}

#[test]
fn row_without_required_column_is_rejected_with_the_name_of_the_column() {
    for (table, columns) in [
        ("RouteTable", &["Designation", "Origin", "PathPrefix", "Category"][..]),
        ("ServiceTable", &["Designation"]),
        ("Subscribers", &["Designation"]),
    ] {
        for column in columns {
            let mut text = complete_configuration();
            let names = text[table]["ColumnNames"].as_array_mut().unwrap();
            *names.iter_mut().find(|name| *name == column).unwrap() = json!("Other");
            let rejected = Configuration::read(text.to_string().as_bytes()).unwrap_err();
            let error = rejected.current_context();
            let expected = (format!("{table}.Records.0"), format!("missing field `{column}`"));
            assert_eq!((error.key.clone(), error.found.clone()), expected);
        }
    }
}

const TWO_ROUTES: &str = r#"{"ConfigVersion":"0000000c","RouteTable":{"ColumnNames":["Designation","Origin",
    "PathPrefix","Category","Timeout","Target","Precedence","Distribution","MaxAttempts","Public","HomeRegions",
    "Service"],"Records":[["a","h.example","/a/","idempotent","2000ms","500ms",2,[{"Service":"s","Weight":90},
    {"Service":"t","Weight":10}],2,false,[],null],["b","h.example","/a/b/","non_idempotent","1s","200ms",0,null,1,
    true,["r"],"t"]]},"ServiceTable":{"ColumnNames":["Designation","HealthPath","MaxConnections","ColdPeriod",
    "ColdRateS"],"Records":[["s","/health",110,"3s",7.5],["t","/health",110,"3s",7.5]]},"Subscribers":{
    "ColumnNames":["Designation","Credentials","RatePerS","BurstSize"],"Records":[["x",["k","l"],76,76],
    ["y",["m"],null,null]]}}"#;

#[test]
fn longest_matching_prefix_selects_the_route_and_the_key_its_tenant() {
    let configuration = Configuration::read(TWO_ROUTES.as_bytes()).unwrap();
    assert_eq!(configuration.version, 12);
    let route_name =
        |path| configuration.route("H.example", path).map(|index| configuration.routes[index].name.as_str());
    assert_eq!(
        (route_name("/a/x"), route_name("/a/b/x"), route_name("/a"), route_name("/c/")),
        (Some("a"), Some("b"), None, None)
    );
    assert_eq!(
        (configuration.tenant("l"), configuration.tenant("m"), configuration.tenant("")),
        (Some(0), Some(1), None)
    );
    assert_eq!(configuration.tenants[1].rate, 0.0);
}

/// Each kind of value that the operators' documentation calls invalid is rejected, and so is a truncated text.
#[test]
fn invalid_or_truncated_configuration_is_rejected_with_its_key() {
    for (from, to, key) in [
        ("\"Service\":\"t\"", "\"Service\":\"u\"", "RouteTable.a.Service"),
        ("/a/b/", "/a/", "RouteTable.b.PathPrefix"),
        ("\"Weight\":10", "\"Weight\":-1", "RouteTable.a.Distribution.Weight"),
        ("2000ms", "0ms", "RouteTable.a.Timeout"),
        ("null,1,", "null,0,", "RouteTable.b.MaxAttempts"),
        ("\"/a/b/\"", "\"a/b/\"", "RouteTable.b.PathPrefix"),
        ("[\"m\"]", "[\"k\"]", "Subscribers.y.Credentials"),
        ("0000000c", "12x", "ConfigVersion"),
        ("[\"y\",", "[\"y\",1,", "Subscribers.Records.1"),
        ("RouteTable", "Routes", "RouteTable"),
    ] {
        let text = TWO_ROUTES.replacen(from, to, 1);
        let rejected = Configuration::read(text.as_bytes()).unwrap_err();
        assert_eq!(rejected.current_context().key, key);
    }
    for length in (0..TWO_ROUTES.len()).step_by(7) {
        assert!(Configuration::read(&TWO_ROUTES.as_bytes()[..length]).is_err(), "truncated at {length}");
    }
}

/// Parse errors quote the names of the types that mirror the file, and operators read them.
#[test]
fn parse_errors_keep_their_text() {
    for (pointer, value, expected) in [
        (
            "/RouteTable",
            json!("x"),
            "RouteTable: invalid type: string \"x\", expected struct PartialTableFile",
        ),
        ("/Limits", json!("x"), "Limits: invalid type: string \"x\", expected struct PartialLimitsFile"),
        ("/RouteTable/Records/0/7/0", json!("x"), "invalid type: string \"x\", expected struct ShareRow"),
        (
            "/RouteTable/Records/0/7/0",
            json!([]),
            "invalid length 0, expected struct ShareRow with 2 elements",
        ),
    ] {
        let mut text = complete_configuration();
        *text.pointer_mut(pointer).unwrap() = value;
        let rejected = Configuration::read(text.to_string().as_bytes()).unwrap_err();
        assert!(rejected.current_context().found.contains(expected), "{rejected}");
    }
    let rejected = Configuration::read(b"1").unwrap_err();
    assert!(rejected.current_context().found.contains("expected struct PartialFile"), "{rejected}");
}
