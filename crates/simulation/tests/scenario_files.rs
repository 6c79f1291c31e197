//! Scenario files of earlier versions stay readable, and errors in a file are reported with their place.

use archlink_simulation::Scenario;

fn file(size: &str, steps: &str) -> String {
    format!(
        r#"{{"seed": 1, "size": "{size}", "catch_up": 4, "rates": [1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0], "steps": [
{steps}
]}}
"#
    )
}

/// Every step and loss in the form of the first version is read and written back unchanged.
#[test]
fn every_step_keeps_its_name_in_files() {
    let steps = [
        r#"[0.5,{"Chart":{"node":1,"above":-1,"patience":2.5}}]"#,
        r#"[0.5,{"Race":{"nodes":[1,2],"gap":0.5}}]"#,
        r#"[0.5,{"Zone":{"node":1,"zone":1,"on":true,"patience":2.5}}]"#,
        r#"[0.5,{"Reseat":{"node":3,"old":3,"new":4}}]"#,
        r#"[0.5,{"Reads":{"node":1,"every":0.5,"seconds":1.5}}]"#,
        r#"[0.5,{"Cut":{"from":1,"to":2,"seconds":1.5}}]"#,
        r#"[0.5,{"Isolate":{"node":1,"seconds":1.5}}]"#,
        r#"[0.5,{"Split":{"bits":3,"seconds":1.5}}]"#,
        r#"[0.5,{"Flap":{"from":1,"to":2,"period":0.5,"times":3}}]"#,
        r#"[0.5,{"Stall":{"from":1,"to":2,"seconds":1.5}}]"#,
        r#"[0.5,{"Hold":{"node":1,"seconds":1.5}}]"#,
        r#"[0.5,{"Noise":{"lossy":0.25,"doubled":0.5,"late":0.125,"late_by":2.5,"seconds":1.5}}]"#,
        r#"[0.5,{"Freeze":{"node":1,"seconds":1.5}}]"#,
        r#"[0.5,{"Kill":{"node":1,"down":1.5}}]"#,
        r#"[0.5,{"Power":{"node":1,"down":1.5}}]"#,
        r#"[0.5,{"Wipe":{"node":1,"down":1.5}}]"#,
        r#"[0.5,{"KillAll":{"down":1.5}}]"#,
        r#"[0.5,{"PowerAll":{"down":1.5}}]"#,
        r#"[0.5,{"Roll":{"gap":1.5}}]"#,
        r#"[0.5,{"Slow":{"node":1,"sync":0.25,"seconds":1.5}}]"#,
        r#"[0.5,{"Hang":{"node":1,"seconds":1.5}}]"#,
        r#"[0.5,{"Replace":{"node":1,"gap":1.5,"planned":true}}]"#,
        r#"[0.5,{"Lose":{"node":1,"loss":"Wipe","seconds":1.5}}]"#,
        r#"[0.5,{"Lose":{"node":1,"loss":"Power","seconds":1.5}}]"#,
        r#"[0.5,{"Lose":{"node":1,"loss":"Kill","seconds":1.5}}]"#,
        r#"[0.5,{"Lose":{"node":1,"loss":"Freeze","seconds":1.5}}]"#,
        r#"[0.5,{"Lose":{"node":1,"loss":"Isolate","seconds":1.5}}]"#,
        r#"[0.5,{"LoseOldest":{"loss":"Hang","seconds":1.5}}]"#,
    ];
    for size in ["Small", "Grown"] {
        let text = file(size, &format!("  {}", steps.join(",\n  ")));
        assert_eq!(Scenario::read(&text).expect("a scenario").text(), text);
    }
}

#[test]
fn position_outside_the_fleet_is_rejected_with_its_step() {
    for (position, size) in [(0, "Small"), (5, "Small"), (7, "Grown")] {
        let steps =
            format!(r#"[0.0,{{"KillAll":{{"down":1}}}}],[0.0,{{"Kill":{{"node":{position},"down":1}}}}]"#);
        let error = Scenario::read(&file(size, &steps)).expect_err("an unknown position");
        let allowed = if size == "Small" { 4 } else { 6 };
        let expected = format!("steps[1]: node {position}; allowed are 1 to {allowed}");
        assert!(format!("{error:?}").contains(&expected), "{error:?}");
    }
}

#[test]
fn invalid_scenario_file_is_rejected_with_its_line() {
    let error = Scenario::read(&file("Small", r#"[0.0,{"Sail":{"node":1}}]"#)).expect_err("an unknown step");
    let text = format!("{error:?}");
    assert!(
        text.contains("the scenario can't be read") && text.contains("Sail") && text.contains("line 2"),
        "{text}"
    );
}
