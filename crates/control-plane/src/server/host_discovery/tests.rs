//! Tests the platform client against a faulty platform.

use super::platform::{MAX_PAGES, PlatformClient};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn page(id: &str, token: Option<&str>) -> String {
    let body = serde_json::json!({"Instances": [{"InstanceId": id, "Service": "s", "Address": "127.0.0.1:1",
        "Zone": "z", "Capacity": 1, "OperatingState": "available", "ColdLeft": null}], "NextToken": token});
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A fake platform that sends the next of these responses for each request, on whichever connection it arrives. At an empty
/// one it stops reading from that connection without responding.
async fn platform(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn(async move {
        let mut responses = responses.into_iter();
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                let Some(response) = responses.next() else { break };
                if response.is_empty() {
                    break;
                }
                stream.write_all(response.as_bytes()).await.unwrap();
            }
            // The connection is kept open, so that a request without a response has to time out.
            open.push(stream);
        }
    });
    address
}

fn run<F: Future>(test: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

async fn listed_ids(client: &mut PlatformClient) -> Option<String> {
    let instances = client.list_instances().await.ok()?;
    Some(instances.into_iter().map(|instance| instance.id).collect::<Vec<_>>().join(" "))
}

/// A response that the platform sends twice is not matched to the next request. Otherwise every list would be one poll out of
/// date for as long as the connection lasts, and a page of one list could end another.
#[test]
fn duplicate_response_is_not_matched_to_the_next_request() {
    run(async {
        let duplicate = format!("{}{}", page("old", None), page("old", None));
        let mut client = PlatformClient::new(platform(vec![duplicate, page("new", None)]).await);
        assert_eq!(listed_ids(&mut client).await, None);
        assert_eq!(listed_ids(&mut client).await.as_deref(), Some("new"));
        let duplicate = format!("{}{}", page("a", Some("2")), page("z", None));
        let responses = vec![duplicate, page("a", Some("2")), page("b", None)];
        let mut client = PlatformClient::new(platform(responses).await);
        assert_eq!(listed_ids(&mut client).await, None);
        assert_eq!(listed_ids(&mut client).await.as_deref(), Some("a b"));
    });
}

#[test]
fn instance_on_two_pages_is_listed_once() {
    run(async {
        let responses = vec![page("a", Some("2")), page("a", None)];
        let mut client = PlatformClient::new(platform(responses).await);
        assert_eq!(listed_ids(&mut client).await.as_deref(), Some("a"));
    });
}

/// An abandoned request closes its connection, and a list without end is an error.
#[test]
fn abandoned_or_endless_list_yields_no_result_and_keeps_no_connection() {
    run(async {
        let mut client = PlatformClient::new(platform(vec![String::new(), page("new", None)]).await);
        tokio::select! {
            biased;
            _ = client.list_instances() => panic!("there was no response"),
            _ = async { for _ in 0..100 { tokio::task::yield_now().await } } => {}
        }
        assert!(!client.is_connected());
        let endless = (0..=MAX_PAGES).map(|_| page("a", Some("more"))).collect();
        let mut client = PlatformClient::new(platform(endless).await);
        assert_eq!(listed_ids(&mut client).await, None);
    });
}
