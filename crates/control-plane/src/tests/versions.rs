//! Each version has exactly one configuration text.

use super::simulated_cluster::{SimulatedCluster, advance, configuration, run, send_call};
use crate::admin::calls::Call;
use crate::admin::configuration::{digest, hex};

/// Each version has one text, and operators who send different ones can tell from the responses which was accepted. The
/// accepted text is acknowledged each time, at any node. Another text of its version is rejected with the same response by
/// every node, also once a higher version is in force. A lower version changes nothing, and its response names the one in
/// force. The failure was that both texts of a version were acknowledged.
#[test]
fn each_version_has_one_text_at_every_node() {
    run(async {
        let cluster = SimulatedCluster::new();
        advance(1.0).await;
        let replace =
            async |index, text: &str| cluster.call(index, Call::ReplaceConfiguration, "", text).await;
        // The highest possible version used to crash the process, or was treated as the lowest.
        let (response, fields) = replace(0, &configuration(u64::MAX, 5)).await;
        let names_the_version = fields["Error"].to_string().contains("ConfigVersion: found ffff");
        assert!(response.status == 400 && names_the_version, "{fields}");
        let (first, second) = (configuration(4, 5), configuration(5, 5));
        let (_, accepted) = replace(0, &first).await;
        for index in 0..3 {
            let (response, repeated) = replace(index, &first).await;
            assert_eq!((response.status, &repeated["Digest"]), (200, &accepted["Digest"]));
        }
        let other = configuration(4, 6);
        let (_, rejection) = replace(2, &other).await;
        assert_eq!(
            (&rejection["Digest"], &rejection["ConfigVersion"]),
            (&accepted["Digest"], &accepted["ConfigVersion"])
        );
        assert_eq!(rejection["YourDigest"], hex(&digest(other.as_bytes())));
        let (_, newer) = replace(1, &second).await;
        assert!(
            newer["InForce"]["Digest"] == newer["Digest"] && newer["Digest"] != accepted["Digest"],
            "{newer}"
        );
        let (read, _) = cluster.call(2, Call::ReadConfiguration, "", "").await;
        assert_eq!(String::from_utf8_lossy(&read.body), second);
        assert!(String::from_utf8_lossy(&read.header_lines).contains(newer["Digest"].as_str().unwrap()));
        for index in 0..3 {
            let (response, repeated) = replace(index, &other).await;
            assert_eq!((response.status, &repeated), (409, &rejection));
        }
        let (response, late) = send_call(&cluster.nodes[2], Call::ReplaceConfiguration, "", &first).await;
        assert_eq!((response.status, &late["InForce"]), (200, &newer["InForce"]), "{late}");
    });
}
