//! Responses of a partitioned node, and how the cluster recovers from partitions and lost voters.

use super::data_node;
use super::simulated_cluster::{
    NODES, SimulatedCluster, SimulatedDisk, advance, configuration, run, send_call, stalled_node,
};
use crate::admin::calls::{Call, Consistency};
use archlink_control_node::event_log::Event;
use archlink_http::codec::Response;
use serde_json::Value;
use strum::IntoEnumIterator;

/// Valid path parameters and body for a call.
fn valid_arguments(call: Call) -> (&'static str, String) {
    match call {
        Call::ReplaceConfiguration => ("", configuration(2, 7)),
        Call::BeginEvacuation | Call::FinishEvacuation => ("east", String::new()),
        Call::ReplaceVoter => ("10.0.0.3/10.0.0.4", String::new()),
        Call::ForceNewGeneration => ("", r#"{"Epoch":1,"Lose":["10.0.0.2"]}"#.into()),
        _ => ("", String::new()),
    }
}

/// Sum of the rounds that a node's disk has promised, which grows with each proposal that reaches the node.
fn promised_rounds(cluster: &SimulatedCluster, index: usize) -> u64 {
    let acceptors = cluster.disks[index].state().acceptors;
    acceptors.values().map(|acceptor| acceptor.promised.round).sum()
}

/// Checks the response, after `took` seconds, of a node that has been partitioned for longer than all timeouts.
fn assert_partitioned_response(call: Call, response: &Response, fields: &Value, took: f64) {
    let retry_after = String::from_utf8_lossy(&response.header_lines).contains("Retry-After");
    match call.consistency() {
        Consistency::QuorumContact => {
            let status = response.status;
            assert!(status == 503 && retry_after && took < 0.3, "{call:?}: {status} after {took} s");
            let reason = fields["Error"].as_str();
            assert!(reason.is_some_and(|reason| reason.contains("not begun")), "{fields}");
        }
        Consistency::LinearizableRead => {
            assert!(response.status == 503 && retry_after && took < 1.0, "{call:?}: {took} s")
        }
        Consistency::Sessions => assert!(response.status == 503 && retry_after, "{call:?}: {fields}"),
        Consistency::LocalState => {
            assert!(response.status == 200 && fields["Contact"] == false, "{call:?}: {fields}");
            let age = fields["ConfirmedSecondsAgo"].as_f64();
            assert!(age.is_some_and(|age| age > 5.0), "{call:?}: {fields}");
        }
        // The request names only one of the two voters that the node does not hear from.
        Consistency::OperatorOverride => {
            assert!(response.status == 409 && fields.to_string().contains("10.0.0.3"), "{fields}")
        }
    }
}

async fn check_call_in_a_partition(call: Call) {
    let cluster = SimulatedCluster::new();
    advance(1.0).await;
    let text = configuration(1, 5);
    assert_eq!(cluster.call(0, Call::ReplaceConfiguration, "", &text).await.0.status, 200);
    let renewed = Event::SessionRenewed(data_node());
    cluster.nodes[1].step(|state, now| state.record_event(now, renewed));
    advance(1.0).await;
    let (path_parameters, body) = valid_arguments(call);
    let before = cluster.call(0, call, path_parameters, &body).await;
    let is_local = call.consistency() == Consistency::LocalState;
    assert_eq!(before.1["Contact"] == true, is_local, "{call:?}: {}", before.1);
    advance(4.0).await;
    cluster.partition(0, true);
    advance(6.0).await;
    let rounds = [0, 1].map(|index| promised_rounds(&cluster, index));
    let called_at = cluster.nodes[0].clock.now();
    let (response, fields) = cluster.call(0, call, path_parameters, &body).await;
    let took = cluster.nodes[0].clock.now() - called_at;
    assert_partitioned_response(call, &response, &fields, took);
    if call.consistency() == Consistency::QuorumContact {
        let rounds_after = [0, 1].map(|index| promised_rounds(&cluster, index));
        assert_eq!(rounds_after, rounds, "{call:?} was started");
    }
    // The first request after the partition is accepted, because the node asks the quorum at once.
    cluster.partition(0, false);
    if call == Call::BeginEvacuation {
        assert_eq!(cluster.call(0, call, path_parameters, &body).await.0.status, 200);
    }
}

/// Every call at a node that has been partitioned for longer than all timeouts. A request fails at once, is not started and
/// says when to retry; a linearizable read fails; local state is returned with its age; sessions have expired. This guards
/// against requests that wait for their whole timeout in a minority, and against a partitioned node that presents its state
/// as the cluster's.
#[test]
fn partitioned_node_responds_to_each_call_by_its_consistency() {
    for call in Call::iter() {
        run(check_call_in_a_partition(call));
    }
}

/// While the system starts, and in the first moments of a partition, a request is started and waits, and is accepted as soon
/// as there is a quorum. Rejecting it at once would make its sender retry with an increasing backoff.
#[test]
fn request_at_the_start_waits_for_its_quorum() {
    run(async {
        let cluster = SimulatedCluster::new();
        cluster.partition(1, true);
        cluster.partition(2, true);
        let heal = async {
            advance(0.5).await;
            cluster.partition(1, false);
        };
        let text = configuration(1, 5);
        let request = cluster.call(0, Call::ReplaceConfiguration, "", &text);
        let ((response, fields), ()) = tokio::join!(request, heal);
        let version = &fields["InForce"]["ConfigVersion"];
        assert_eq!((response.status, version), (200, &"00000001".into()), "{fields}");
    });
}

/// A process that has stalled still knows sessions that expired meanwhile. The failure was that it returned their data nodes,
/// because responses in the 50 ms before its next tick used the state from before the stall.
#[test]
fn stalled_node_resolves_no_expired_session() {
    run(async {
        let node = stalled_node(NODES[0], SimulatedDisk::default());
        node.step(|state, now| state.record_event(now, Event::SessionRenewed(data_node())));
        assert_eq!(send_call(&node, Call::Resolve, "", "").await.0.status, 200);
        advance(20.0).await;
        assert_eq!(send_call(&node, Call::Resolve, "", "").await.0.status, 503);
    });
}

/// A voter is replaced by another node on request. Each rejection names its reason, and a repeated request is answered as
/// done.
#[test]
fn voter_is_replaced_once_and_rejections_name_their_reason() {
    run(async {
        let cluster = SimulatedCluster::new();
        advance(2.0).await;
        let replace = async |path_parameters| cluster.call(0, Call::ReplaceVoter, path_parameters, "").await;
        assert_eq!(replace("10.0.0.3").await.0.status, 400);
        assert_eq!(replace("10.0.0.3/control-4").await.0.status, 400);
        for (path_parameters, reason) in [
            ("10.0.0.9/10.0.0.4", "NoSeat"),
            ("10.0.0.3/10.0.0.1", "Seated"),
            ("10.0.0.3/10.0.0.9", "Absent"),
        ] {
            let (response, fields) = replace(path_parameters).await;
            assert_eq!((response.status, &fields["Reason"]), (409, &reason.into()), "{fields}");
        }
        cluster.partition(2, true);
        for _ in 0..2 {
            let (response, fields) = replace("10.0.0.3/10.0.0.4").await;
            assert_eq!((response.status, fields["Epoch"].as_u64()), (200, Some(3)), "{fields}");
        }
        advance(1.0).await;
        assert_eq!(cluster.call(3, Call::Voters, "", "").await.1["Members"][3]["Seat"], true);
    });
}

/// A new generation is rejected while there is contact with a quorum, and if the voters named are not those that are lost.
/// Otherwise it is forced with the survivor's state, and requests are accepted again.
#[test]
fn new_generation_is_forced_by_naming_lost_voters_and_only_without_a_quorum() {
    run(async {
        let cluster = SimulatedCluster::new();
        advance(1.0).await;
        let text = configuration(1, 5);
        assert_eq!(cluster.call(0, Call::ReplaceConfiguration, "", &text).await.0.status, 200);
        advance(5.0).await;
        let force = async |lose: &str| {
            let body = format!(r#"{{"Epoch":1,"Lose":[{lose}]}}"#);
            cluster.call(0, Call::ForceNewGeneration, "", &body).await
        };
        let assert_rejected = async |lose, reason| {
            let (response, fields) = force(lose).await;
            let error = fields["Error"].as_str().unwrap();
            assert!(response.status == 409 && error.contains(reason), "{fields}");
        };
        assert_rejected(r#""10.0.0.2","10.0.0.3""#, "nothing is lost").await;
        cluster.partition(1, true);
        cluster.partition(2, true);
        advance(3.0).await;
        assert_rejected(r#""10.0.0.2","10.0.0.3""#, "name exactly these").await;
        advance(4.0).await;
        assert_rejected(r#""10.0.0.2""#, "10.0.0.2,10.0.0.3").await;
        assert_eq!(force(r#""10.0.0.2","control-3""#).await.0.status, 400);
        let next = configuration(2, 5);
        assert_eq!(cluster.call(0, Call::ReplaceConfiguration, "", &next).await.0.status, 503);
        let (response, fields) = force(r#""10.0.0.2","10.0.0.3""#).await;
        let is_epoch_of_new_generation = fields["Epoch"].as_u64() > Some(1 << 32);
        assert!(response.status == 200 && is_epoch_of_new_generation, "{} {fields}", response.status);
        let (read, _) = cluster.call(0, Call::ReadConfiguration, "", "").await;
        assert_eq!(String::from_utf8_lossy(&read.body), text);
        assert_eq!(cluster.call(0, Call::ReplaceConfiguration, "", &next).await.0.status, 200);
    });
}
