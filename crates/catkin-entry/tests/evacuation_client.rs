//! Which evacuations routers say that they obey.

use std::collections::BTreeMap;

use catkin_entry::{ExchangeFailure, parse_obeyed_evacuations, read_obeyed_evacuations};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const METRICS: &str = "# TYPE catkin_entry_evacuation_obeyed_unix_millis gauge\n\
    catkin_entry_evacuation_obeyed_unix_millis{domain=\"zone-a\"} 1764867600123\n\
    catkin_entry_evacuation_obeyed_unix_millis{domain=\"zone-b\"} 0\n\
    catkin_entry_open_calls 7\n";

fn obeyed_evacuations() -> BTreeMap<String, u64> {
    BTreeMap::from([("zone-a".to_owned(), 1_764_867_600_123)])
}

#[test]
fn only_evacuations_that_are_obeyed_are_read() {
    assert_eq!(parse_obeyed_evacuations(METRICS), obeyed_evacuations());
    assert_eq!(parse_obeyed_evacuations("catkin_entry_open_calls 7\n"), BTreeMap::new());
}

#[test]
fn malformed_metrics_are_ignored() {
    let text = "catkin_entry_evacuation_obeyed_unix_millis\n\
        catkin_entry_evacuation_obeyed_unix_millis{domain=\"a\n\
        catkin_entry_evacuation_obeyed_unix_millis{domain=\"a\"} soon\n";

    assert_eq!(parse_obeyed_evacuations(text), BTreeMap::new());
}

#[tokio::test]
async fn evacuations_are_read_from_a_router_that_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 64];
        let count = stream.read(&mut request).await.unwrap();
        let length = METRICS.len();
        let answer = format!("HTTP/1.1 200 -\r\nContent-Length: {length}\r\n\r\n{METRICS}");
        stream.write_all(answer.as_bytes()).await.unwrap();
        String::from_utf8_lossy(&request[..count]).into_owned()
    });

    let obeyed = read_obeyed_evacuations(address).await;

    assert_eq!(obeyed, Ok(obeyed_evacuations()));
    assert!(router.await.unwrap().starts_with("GET /metrics HTTP/1.1\r\n"));
    assert_eq!(read_obeyed_evacuations(address).await, Err(ExchangeFailure::Unreachable));
}

/// Reads the evacuations of a router that sends these bytes and closes the connection.
async fn read_from(answer: String) -> Result<BTreeMap<String, u64>, ExchangeFailure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 256]).await;
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    read_obeyed_evacuations(address).await
}

/// Guards against metrics that end early: an operator was told that a router obeys no evacuation, or since
/// another time.
#[tokio::test]
async fn metrics_that_end_early_are_not_read() {
    let length = METRICS.len();
    let with_length = format!("HTTP/1.1 200 -\r\nContent-Length: {length}\r\n\r\n{METRICS}");
    let chunk = format!("{length:x}\r\n{METRICS}\r\n0\r\n\r\n");
    let with_chunks = format!("HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
    let with_neither = format!("HTTP/1.1 200 -\r\n\r\n{METRICS}");

    for answer in [with_length, with_chunks, with_neither] {
        for end in 0..answer.len() {
            let obeyed = read_from(answer[..end].to_owned()).await;

            assert_eq!(obeyed, Err(ExchangeFailure::Broken), "{:?}", &answer[..end]);
        }
    }
}
