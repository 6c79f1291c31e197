//! The command as an operator runs it, on files of its own; and that the counterpart says what both files said.

use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output};

fn file(name: &str, content: &Value) -> PathBuf {
    let path = std::env::temp_dir().join(format!("archlink-migrate-{}-{name}.json", std::process::id()));
    std::fs::write(&path, content.to_string()).unwrap();
    path
}

fn read(path: &PathBuf) -> Value {
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

fn old() -> Value {
    let text = include_str!("../../gateway/examples/gateway.json");
    let mut old: Value = serde_json::from_str(text).unwrap();
    old["peers"] = json!(["127.0.0.1:9"]);
    old["settings"]["limits"]["peers"] = json!(true);
    old["settings"]["contracts"][1]["max-out"] = json!(3);
    old["mood"] = json!("good");
    old
}

fn shape() -> Value {
    json!({"peers-total": 4, "zones": ["hall"],
        "classes": [
            {"name": "look", "on-time-us": 2_000_000, "late-share": 0},
            {"name": "book", "effect": "side_effect", "on-time-us": 750_000, "deadline-us": 2_000_000, "late-share": 0}],
        "domain": {"settles": true, "use-period-us": 1_000_000},
        "limits": {"probes": false, "peers": false, "retry-after": false, "second-copies": false}})
}

fn migrate(old: &PathBuf, shape: &PathBuf, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_archlink-migrate"));
    command.arg(old).arg("--shape").arg(shape).args(more).output().unwrap()
}

#[test]
fn a_counterpart_is_written_and_what_is_left_behind_is_listed() {
    let (old, shape) = (file("old", &old()), file("shape", &shape()));
    let (before, new) = (read(&old), old.with_extension("new"));
    let name = new.to_str().unwrap();
    let dry = migrate(&old, &shape, &["--write", name, "--dry-run"]);
    assert!(dry.status.code() == Some(2) && !new.exists() && dry.stdout.is_empty(), "{dry:?}");
    let done = migrate(&old, &shape, &["--write", name]);
    let listed = String::from_utf8(done.stderr).unwrap();
    assert_eq!(listed, String::from_utf8(dry.stderr).unwrap(), "a dry run lists the same");
    let keys: Vec<&str> = listed.lines().map(|l| l.split(": ").nth(1).expect("a key")).collect();
    assert_eq!(keys, ["settings.classes.1", "settings.contracts.1.max-out", "known", "mood", "peers"]);
    let (file, was) = (read(&new), &before["settings"]);
    assert_eq!(file["listen"], before["listen"]);
    let look = &file["settings"]["classes"][0];
    assert_eq!(
        (&look["effect"], &look["deadline-us"]),
        (&was["classes"][0]["effect"], &was["classes"][0]["deadline-us"])
    );
    assert_eq!(look["on-time-us"], 2_000_000, "the shape's own figure");
    assert_eq!(file["settings"]["limits"]["max-attempts"], was["limits"]["max-attempts"]);
    let told = archlink_admission_settings::from_json(&file["settings"]).unwrap().admission;
    assert!(
        !told.may_probe && !told.may_send_retry_after && told.settles && told.classes[1].late_value == 0.0
    );
    assert!(migrate(&old, &shape, &["--write", name]).status.code() == Some(1), "never over a file unasked");
    assert_eq!(migrate(&old, &shape, &["--write", name, "--replace"]).status.code(), Some(2));
    let over_itself = migrate(&old, &shape, &["--write", old.to_str().unwrap(), "--replace"]);
    assert!(over_itself.status.code() == Some(1) && read(&old) == before, "the way back stays");
}

#[test]
fn what_no_gateway_would_start_with_is_refused_by_its_key_and_not_written() {
    let mut wrong = old();
    wrong["counter"] = json!(null);
    let cases = [
        ("counter: ", wrong, shape()),
        ("settings.self-index: ", old(), json!({"peers-total": 2, "self-index": 2})),
        ("settings.classes.0.late-share: ", old(), json!({"classes": [{"name": "look", "late-share": 2}]})),
        ("settings.classes.0.name: ", old(), json!({"classes": [{"effect": "pure"}]})),
        ("settings.limits: ", old(), json!({"limits": 3})),
        (
            "settings.contracts.1.rate: ",
            old(),
            json!({"contracts": [{"name": "team"}, {"name": "firm", "rate": 0}]}),
        ),
    ];
    for (n, (key, old, shape)) in cases.iter().enumerate() {
        let (old, shape) = (file(&format!("{n}-old"), old), file(&format!("{n}-shape"), shape));
        let new = old.with_extension("new");
        let output = migrate(&old, &shape, &["--write", new.to_str().unwrap()]);
        let text = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(output.status.code() == Some(1) && text.contains(key) && !new.exists(), "{key}{text}");
    }
}

#[test]
fn the_same_shape_carries_all_but_the_known_hosts_over() {
    let mut plain: Value = serde_json::from_str(include_str!("../../gateway/examples/gateway.json")).unwrap();
    plain.as_object_mut().unwrap().remove("known");
    let (old, shape) = (file("plain", &plain), file("none", &json!({})));
    let output = migrate(&old, &shape, &[]);
    assert_eq!(
        (output.status.code(), serde_json::from_slice::<Value>(&output.stdout).unwrap()),
        (Some(0), plain)
    );
}
