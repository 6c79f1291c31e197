//! Runs the command on temporary files, as an operator does, and checks that the migrated configuration reflects both inputs.

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

fn migrate(old: &PathBuf, shape: &PathBuf, options: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_archlink-migrate"));
    command.arg(old).arg("--shape").arg(shape).args(options).output().unwrap()
}

#[test]
fn migrated_configuration_is_written_and_dropped_keys_are_listed() {
    let (old, shape) = (file("old", &old()), file("shape", &shape()));
    let (before, new) = (read(&old), old.with_extension("new"));
    let name = new.to_str().unwrap();
    let dry_run = migrate(&old, &shape, &["--write", name, "--dry-run"]);
    assert!(dry_run.status.code() == Some(2) && !new.exists() && dry_run.stdout.is_empty(), "{dry_run:?}");
    let output = migrate(&old, &shape, &["--write", name]);
    let listed = String::from_utf8(output.stderr).unwrap();
    assert_eq!(listed, String::from_utf8(dry_run.stderr).unwrap(), "a dry run lists the same keys");
    let keys: Vec<&str> = listed.lines().map(|line| line.split(": ").nth(1).expect("a key")).collect();
    assert_eq!(keys, ["settings.classes.1", "settings.contracts.1.max-out", "known", "mood", "peers"]);
    let (migrated, old_settings) = (read(&new), &before["settings"]);
    assert_eq!(migrated["listen"], before["listen"]);
    let look = &migrated["settings"]["classes"][0];
    assert_eq!(
        (&look["effect"], &look["deadline-us"]),
        (&old_settings["classes"][0]["effect"], &old_settings["classes"][0]["deadline-us"])
    );
    assert_eq!(look["on-time-us"], 2_000_000, "the shape overrides the old value");
    assert_eq!(migrated["settings"]["limits"]["max-attempts"], old_settings["limits"]["max-attempts"]);
    let admission = archlink_admission_settings::from_json(&migrated["settings"]).unwrap().admission;
    assert!(
        !admission.may_probe
            && !admission.may_send_retry_after
            && admission.settles
            && admission.classes[1].late_value == 0.0
    );
    assert!(
        migrate(&old, &shape, &["--write", name]).status.code() == Some(1),
        "a file is overwritten without --replace"
    );
    assert_eq!(migrate(&old, &shape, &["--write", name, "--replace"]).status.code(), Some(2));
    let onto_old = migrate(&old, &shape, &["--write", old.to_str().unwrap(), "--replace"]);
    assert!(onto_old.status.code() == Some(1) && read(&old) == before, "OLD is overwritten");
}

#[test]
fn invalid_migrated_configuration_is_rejected_with_its_key_and_not_written() {
    let mut without_counter = old();
    without_counter["counter"] = json!(null);
    let cases = [
        ("counter: ", without_counter, shape()),
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
    for (index, (key, old, shape)) in cases.iter().enumerate() {
        let (old, shape) = (file(&format!("{index}-old"), old), file(&format!("{index}-shape"), shape));
        let new = old.with_extension("new");
        let output = migrate(&old, &shape, &["--write", new.to_str().unwrap()]);
        let text = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(output.status.code() == Some(1) && text.contains(key) && !new.exists(), "{key}{text}");
    }
}

#[test]
fn empty_shape_carries_over_a_configuration_without_known_hosts_unchanged() {
    let mut without_known: Value =
        serde_json::from_str(include_str!("../../gateway/examples/gateway.json")).unwrap();
    without_known.as_object_mut().unwrap().remove("known");
    let (old, shape) = (file("plain", &without_known), file("none", &json!({})));
    let output = migrate(&old, &shape, &[]);
    assert_eq!(
        (output.status.code(), serde_json::from_slice::<Value>(&output.stdout).unwrap()),
        (Some(0), without_known)
    );
}
