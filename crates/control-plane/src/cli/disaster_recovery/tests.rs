//! Tests which survivor is proposed.

use super::*;
use serde_json::json;

fn surveyed_node(own_address: &str, epoch: u64, round: u64, contact: bool) -> SurveyedNode {
    let members: Vec<Value> = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
        .iter()
        .map(|address| json!({"Address": address, "Seat": true, "Here": *address == own_address}))
        .collect();
    let held = json!([{"Register": "Chart", "Stamp": round, "ConfigVersion": format!("{:08x}", round - 1),
        "Ballot": [round, 1, 1]}]);
    let status = json!({"Here": own_address, "Epoch": epoch, "Members": members, "Lost": ["10.0.0.3"],
        "DiskWhole": true, "Held": held, "Contact": contact});
    SurveyedNode { address: format!("{own_address}:8200"), status: Ok(status) }
}

/// The newest survivor is proposed, comparing epochs before proposal numbers. None is proposed if any node has contact with a
/// quorum.
#[test]
fn newest_survivor_is_proposed_and_only_where_no_quorum_is_left() {
    let lost = SurveyedNode { address: "10.0.0.3:8200".to_string(), status: Err(CallError::Status(503)) };
    let nodes = [surveyed_node("10.0.0.1", 4, 9, false), surveyed_node("10.0.0.2", 5, 7, false), lost];
    let (text, confirmation) = survey(&nodes);
    let expected = Confirmation { at: "10.0.0.2:8200".into(), epoch: "5".into(), lose: "10.0.0.3".into() };
    assert_eq!(confirmation, Some(expected));
    assert!(
        text.contains("newest Chart: 00000008, at 10.0.0.1")
            && text.contains("10.0.0.3:8200: unreachable: HTTP status 503"),
        "{text}"
    );
    let (text, confirmation) =
        survey(&[surveyed_node("10.0.0.1", 4, 9, true), surveyed_node("10.0.0.2", 5, 7, false)]);
    assert!(confirmation.is_none() && text.contains("No new generation is needed"), "{text}");
    assert!(survey(&[surveyed_node("10.0.0.9", 4, 9, false)]).1.is_none());
}
