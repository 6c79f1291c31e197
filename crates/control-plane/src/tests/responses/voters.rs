//! Responses to calls about the voters.

use super::*;

#[test]
fn voters_response_has_its_fields() {
    run(async {
        let cluster = running_cluster().await;
        advance(1.0).await;
        call_ok(&cluster, Call::BeginEvacuation, "east", "").await;
        advance(1.0).await;
        let fields = call_ok(&cluster, Call::Voters, "", "").await;
        let member = |n: u32, seat: bool| {
            json!({"Address": format!("10.0.0.{n}"), "Control": format!("10.0.0.{n}:8200"), "Zone": "west",
                "Seat": seat, "Comes": false, "Here": n == 1, "HeardSecondsAgo": "seconds", "DiskWhole": true})
        };
        let accepted = |register: &str, revision: u64, version: Option<&str>| json!({"Register": register, "Stamp": revision, "ConfigVersion": version, "Ballot": "three numbers"});
        let expected = json!({
            "Here": "10.0.0.1", "Epoch": 1, "Founded": true, "Changing": false,
            "Members": [member(1, true), member(2, true), member(3, true), member(4, false)],
            "Lost": [], "DiskWhole": true, "LastChange": null,
            "Held": [accepted("Chart", 11, Some("0000000a")), accepted("Evacuations", 1, None)],
            "ConfirmedSecondsAgo": "seconds", "Contact": true,
        });
        assert_eq!(fields, expected);

        // The response to a membership change has the same fields, without the age of the last quorum contact.
        let fields = call_ok(&cluster, Call::ReplaceVoter, "10.0.0.3/10.0.0.4", "").await;
        assert_eq!(
            (&fields["Epoch"], &fields["ConfirmedSecondsAgo"], &fields["Contact"]),
            (&json!(3), &Value::Null, &Value::Null)
        );
        let expected = json!([
            accepted("Chart", 11, Some("0000000a")),
            accepted("Evacuations", 1, None),
            accepted("Muster", 3, None)
        ]);
        assert_eq!(fields["Held"], expected);
        let expected = json!({"SecondsAgo": "seconds", "Came": true});
        assert_eq!(fields["LastChange"], expected);
    });
}

/// Each rejection of a membership change, with the code and text that an operator sees.
#[test]
fn each_membership_error_has_its_reason_and_text() {
    for (membership_error, reason, error) in [
        (
            MembershipError::Unknown,
            "Unknown",
            "who votes is not known here yet: ask again once this gateway has reached another, or ask another",
        ),
        (
            MembershipError::ChangeInProgress,
            "UnderWay",
            "another change of the voters is under way: see `voters`, and order again once it has ended",
        ),
        (
            MembershipError::NotAVoter,
            "NoSeat",
            "the one that is to go has no seat: see `voters` for those that have",
        ),
        (
            MembershipError::AlreadyAVoter,
            "Seated",
            "the one that is to come has a seat already: see `voters`",
        ),
        (
            MembershipError::Unreachable,
            "Absent",
            "the one that is to come is not heard of: start it, and order again once `members` names it",
        ),
        (
            MembershipError::NotRecovered,
            "NotWhole",
            "too many voters are not there or have not read back their disks: see `voters`, and bring those back first",
        ),
        (
            MembershipError::WrongEpoch,
            "Epoch",
            "the epoch that was named is not the one that stands: see `voters`, and name that",
        ),
    ] {
        let response = responses::rejected(membership_error);
        assert_eq!((response.status, header_lines(&response).as_str()), (409, JSON));
        assert_eq!(body(&response), json!({"Error": error, "Reason": reason}));
    }
}

#[test]
fn invalid_voters_request_gets_its_error_text() {
    run(async {
        let cluster = SimulatedCluster::new();
        advance(1.0).await;
        let force_body = r#"{"Epoch":1,"Lose":["10.0.0.2"]}"#;
        for (call, path_parameters, text, status, error) in [
            (Call::ReplaceVoter, "10.0.0.3", "", 400, "two addresses are needed: OLD/NEW"),
            (
                Call::ReplaceVoter,
                "10.0.0.3/control-4",
                "",
                400,
                "\"control-4\" is no address of a machine, as 10.0.0.1",
            ),
            (
                Call::ForceNewGeneration,
                "",
                r#"{"Epoch":1,"Lose":["control-3"]}"#,
                400,
                "\"control-3\" is no address of a machine, as 10.0.0.1",
            ),
            (
                Call::ForceNewGeneration,
                "",
                r#"{"Epoch":1}"#,
                400,
                "the body names Epoch and Lose: missing field `Lose` at line 1 column 11",
            ),
            (
                Call::ForceNewGeneration,
                "",
                r#"{"Lose":[]}"#,
                400,
                "the body names Epoch and Lose: missing field `Epoch` at line 1 column 11",
            ),
            (
                Call::ForceNewGeneration,
                "",
                force_body,
                409,
                "this gateway has only started and may not have reached the others: order again in 5 s",
            ),
        ] {
            let (response, fields) = cluster.call(0, call, path_parameters, text).await;
            assert_eq!(
                (response.status, header_lines(&response).as_str(), fields),
                (status, JSON, json!({"Error": error}))
            );
        }
        advance(6.0).await;
        let assert_rejected = async |error: &str| {
            let (response, fields) = cluster.call(0, Call::ForceNewGeneration, "", force_body).await;
            assert_eq!(
                (response.status, header_lines(&response).as_str(), fields),
                (409, JSON, json!({"Error": error}))
            );
        };
        assert_rejected(
            "a majority answers here: nothing is lost; order `voters replace` for a machine that is gone",
        )
        .await;
        cluster.partition(0, true);
        advance(8.0).await;
        assert_rejected("the seats that nothing is heard of here are 10.0.0.2,10.0.0.3: name exactly these")
            .await;
    });
}

#[test]
fn forced_new_generation_response_has_the_voters_fields() {
    run(async {
        let cluster = running_cluster().await;
        cluster.partition(1, true);
        cluster.partition(2, true);
        advance(8.0).await;
        let text = r#"{"Epoch":1,"Lose":["10.0.0.2","10.0.0.3"]}"#;
        let fields = call_ok(&cluster, Call::ForceNewGeneration, "", text).await;
        // The first epoch of a new generation is higher than all epochs that were counted one by one.
        let epoch = fields["Epoch"].clone();
        assert!(epoch.as_u64() > Some(1 << 32), "{fields}");
        let member = |n: u32| {
            json!({"Address": format!("10.0.0.{n}"), "Control": format!("10.0.0.{n}:8200"), "Zone": "west",
                "Seat": n == 1, "Comes": false, "Here": n == 1, "HeardSecondsAgo": "seconds", "DiskWhole": true})
        };
        let accepted = |register: &str, revision: Value, version: Option<&str>| json!({"Register": register, "Stamp": revision, "ConfigVersion": version, "Ballot": "three numbers"});
        let expected = json!({
            "Here": "10.0.0.1", "Epoch": epoch.clone(), "Founded": true, "Changing": false,
            "Members": [member(1), member(2), member(3), member(4)], "Lost": [], "DiskWhole": true,
            "LastChange": null,
            "Held": [accepted("Chart", json!(11), Some("0000000a")), accepted("Muster", epoch, None)],
        });
        assert_eq!(fields, expected);
    });
}
