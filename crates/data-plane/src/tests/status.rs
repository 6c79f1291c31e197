//! The metrics endpoint, and the limit on label values.

use super::*;
use crate::metrics::{EndAfterDisconnect, Metrics};
use crate::status;
use std::time::Duration;

/// Sends a GET request and returns the head and the body of the response.
async fn get(address: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();
    let (head, body) = received.split_once("\r\n\r\n").unwrap();
    (head.to_string(), body.to_string())
}

#[test]
fn metrics_are_served_as_open_metrics_text() {
    let scenario = async || {
        let (_hosts, data_plane) = setup(&[]);
        let (server, clients, _stage) = listen(data_plane.clone()).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(status::serve_metrics(server, Rc::new(listener)));
        let (head, _) = get(clients, "/nowhere").await;
        assert!(head.starts_with("HTTP/1.1 400"), "{head}");
        let elapsed = Duration::from_millis(20);
        data_plane.metrics.attempt_ended_after_disconnect(
            "s",
            EndAfterDisconnect::CancelledAfterSend,
            elapsed,
        );
        let (head, body) = get(address, "/metrics").await;
        assert!(head.contains("Content-Type: application/openmetrics-text"), "{head}");
        for expected in [
            "archlink_answers_total{status=\"400\"} 1",
            "archlink_client_connections 0",
            "archlink_departed_hand_offs_total{service=\"s\",end=\"broken_off\"} 1",
            "archlink_departed_hand_off_seconds_count{service=\"s\"} 1",
            "# EOF",
        ] {
            assert!(body.lines().any(|line| line == expected), "no {expected:?} in:\n{body}");
        }
        assert!(get(address, "/else").await.0.starts_with("HTTP/1.1 404"));
    };
    run_scenarios([scenario()], 1);
}

/// Configurations may keep naming new services: those beyond the limit share one label value.
#[test]
fn service_labels_are_bounded() {
    let metrics = Metrics::new();
    (0..5000).for_each(|n| metrics.client_disconnected(&format!("service-{n}")));
    let text = metrics.encode(0, 0);
    let series = text.lines().filter(|line| line.starts_with("archlink_client_departures_total")).count();
    assert!(series < 4100, "{series}");
    assert!(text.contains("service=\"other\"} 904"), "services beyond the limit are counted as other");
    // The first call returns one summary for each label value, and the second call none.
    assert_eq!(metrics.take_disconnect_summaries().len(), series);
    assert!(metrics.take_disconnect_summaries().is_empty());
}
