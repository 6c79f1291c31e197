//! What those who look at a data gateway are told.

use super::*;
use crate::metrics::{DepartedEnd, Metrics};
use crate::status;
use std::time::Duration;

async fn get(to: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let text = format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut said = String::new();
    stream.read_to_string(&mut said).await.unwrap();
    let (head, body) = said.split_once("\r\n\r\n").unwrap();
    (head.to_string(), body.to_string())
}

#[test]
fn figures_are_told_as_open_metrics_text() {
    let play = async || {
        let (_world, gateway) = world(&[]);
        let (front, clients, _stage) = front(gateway.clone()).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        spawn_local(status::metrics(front, listener));
        let (head, _) = get(clients, "/nowhere").await;
        assert!(head.starts_with("HTTP/1.1 400"), "{head}");
        gateway.metrics.departed_hand_off("s", DepartedEnd::BrokenOff, Duration::from_millis(20));
        let (head, body) = get(to, "/metrics").await;
        assert!(head.contains("Content-Type: application/openmetrics-text"), "{head}");
        for line in [
            "archlink_answers_total{status=\"400\"} 1",
            "archlink_client_connections 0",
            "archlink_departed_hand_offs_total{service=\"s\",end=\"broken_off\"} 1",
            "archlink_departed_hand_off_seconds_count{service=\"s\"} 1",
            "# EOF",
        ] {
            assert!(body.lines().any(|told| told == line), "no {line:?} in:\n{body}");
        }
        assert!(get(to, "/else").await.0.starts_with("HTTP/1.1 404"));
    };
    run([play()], 1);
}

/// Configurations may name new services for ever: those beyond the bound share one label.
#[test]
fn labels_are_bounded() {
    let metrics = Metrics::new();
    (0..5000).for_each(|n| metrics.client_departed(&format!("service-{n}")));
    let text = metrics.text(0, 0);
    let series = text.lines().filter(|line| line.starts_with("archlink_client_departures_total")).count();
    assert!(series < 4100, "{series}");
    assert!(text.contains("service=\"other\"} 904"), "beyond the bound");
    // One line a service since the last call, and none after it.
    assert_eq!(metrics.departure_lines().len(), series);
    assert!(metrics.departure_lines().is_empty());
}
