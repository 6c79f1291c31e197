//! One configuration text a version.

use super::simulated_cluster::{SimulatedCluster, advance, configuration, run, send_call};
use crate::admin::calls::Call;
use crate::admin::configuration::{digest, hex};

/// One text a version, and both operators can tell from their answers which: the accepted text is acknowledged each time that
/// it comes, at any node; another one of its version is rejected by each of them in the same words, also once a higher one is
/// in force; a lower version changes nothing and is told what is in force. Both texts were acknowledged.
#[test]
fn each_version_has_one_text_at_every_node() {
    run(async {
        let cluster = SimulatedCluster::new();
        advance(1.0).await;
        let replace =
            async |index, text: &str| cluster.call(index, Call::ReplaceConfiguration, "", text).await;
        // A version that can't be counted beyond ended the process, or was taken for the lowest.
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
