//! Responses to commands that change the configuration or evacuations.

use super::*;

#[test]
fn replace_response_has_the_digest_and_the_configuration_in_force() {
    run(async {
        let cluster = running_cluster().await;
        let (older, newer) = (configuration(10, 5), configuration(11, 6));
        let digest = |text: &str| hex(&digest(text.as_bytes()));
        let fields = call_ok(&cluster, Call::ReplaceConfiguration, "", &newer).await;
        let version_fields =
            |version: &str, text: &str| json!({"ConfigVersion": version, "Digest": digest(text)});
        let mut expected = version_fields("0000000b", &newer);
        expected["InForce"] = version_fields("0000000b", &newer);
        assert_eq!(fields, expected);
        let fields = call_ok(&cluster, Call::ReplaceConfiguration, "", &older).await;
        let mut expected = version_fields("0000000a", &older);
        expected["InForce"] = version_fields("0000000b", &newer);
        assert_eq!(fields, expected);

        let other = configuration(11, 7);
        let (response, fields) = cluster.call(0, Call::ReplaceConfiguration, "", &other).await;
        let error = "another text stands under this number: read it, and send yours under a higher one";
        let expected = json!({"Error": error, "ConfigVersion": "0000000b", "Digest": digest(&newer),
            "YourDigest": digest(&other)});
        assert_eq!((response.status, header_lines(&response).as_str(), fields), (409, JSON, expected));

        for (text, error) in [
            (
                configuration(12, 5).replace("0000000c", "x"),
                "ConfigVersion: found x, allowed is hexadecimal digits",
            ),
            (
                configuration((1 << 40) - 1, 5),
                "ConfigVersion: found ffffffffff, allowed is fffffffffe at most",
            ),
        ] {
            let (response, fields) = cluster.call(0, Call::ReplaceConfiguration, "", &text).await;
            assert_eq!(
                (response.status, header_lines(&response).as_str(), fields),
                (400, JSON, json!({"Error": error}))
            );
        }
    });
}

#[test]
fn configuration_is_read_byte_for_byte_with_three_headers() {
    run(async {
        let cluster = SimulatedCluster::new();
        advance(1.0).await;
        let (response, fields) = cluster.call(0, Call::ReadConfiguration, "", "").await;
        let expected = json!({"Error": "no configuration was ever taken"});
        assert_eq!((response.status, header_lines(&response).as_str(), fields), (404, JSON, expected));
        let text = configuration(10, 5);
        cluster.call(0, Call::ReplaceConfiguration, "", &text).await;
        let (response, _) = cluster.call(0, Call::ReadConfiguration, "", "").await;
        assert_eq!((response.status, &response.body[..]), (200, text.as_bytes()));
        let header_lines = header_lines(&response);
        let digest = hex(&digest(text.as_bytes()));
        let (before, ago) = header_lines.split_once("Confirmed-Seconds-Ago: ").unwrap();
        assert_eq!(before, format!("{JSON}Config-Version: 0000000a\r\nConfig-Digest: {digest}\r\n"));
        let (whole, thousandths) = ago.trim_end().split_once('.').unwrap();
        assert!(whole == "0" && thousandths.len() == 3 && ago.ends_with("\r\n"), "{ago}");
    });
}

#[test]
fn evacuation_response_has_its_zone() {
    run(async {
        let cluster = running_cluster().await;
        let fields = call_ok(&cluster, Call::BeginEvacuation, "east", "").await;
        assert_eq!(fields, json!({"Zone": "east", "Evacuated": true}));
        let fields = call_ok(&cluster, Call::FinishEvacuation, "east", "").await;
        assert_eq!(fields, json!({"Zone": "east", "Evacuated": false}));
        for call in [Call::BeginEvacuation, Call::FinishEvacuation] {
            let (response, fields) = cluster.call(0, call, "north", "").await;
            let expected = json!({"Error": "\"north\" is no zone of this deployment"});
            assert_eq!((response.status, header_lines(&response).as_str(), fields), (404, JSON, expected));
        }
    });
}
