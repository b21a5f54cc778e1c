//! Exchanges with servers that answer late, early, twice, incompletely or not at all. They guard
//! against taking the answer to another request or a truncated answer for the right one, and
//! against reporting a request as not run that may have run.

use std::time::Duration;

use catkin_base::{RunVerdict, ServerId};
use catkin_entry::{
    ConnectionPool, ExchangeError, ExchangeFailure, ExpectedAnswer, HttpConnection,
    read_idle_timeout,
};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const ID_FIELD: &str = "x-id";
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\nX-Id: own\r\n\r\n";
const MATCHING_ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok";
const OTHER_ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nalien";
const BODY_LIMIT_BYTES: usize = 1024;
/// Time for which a server keeps its connection open.
const PAUSE: Duration = Duration::from_secs(1);

/// Length of the body of a request that does not fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 16 << 20;

/// What a server does after it has read a request.
#[derive(Clone)]
enum ServerStep {
    Write(Vec<u8>),
    Wait(Duration),
}

fn write(text: &str) -> ServerStep {
    ServerStep::Write(text.as_bytes().to_vec())
}

async fn start_server(steps: Vec<ServerStep>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        for step in steps {
            match step {
                ServerStep::Write(bytes) => stream.write_all(&bytes).await.unwrap(),
                ServerStep::Wait(time) => sleep(time).await,
            }
        }
    });
    address
}

async fn read_request(stream: &mut TcpStream) {
    let mut read = Vec::new();
    while !read.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut bytes = [0; 256];
        let count = stream.read(&mut bytes).await.unwrap();
        read.extend_from_slice(&bytes[..count]);
    }
}

struct Exchanged {
    body: Result<Vec<u8>, ExchangeFailure>,
    reusable: bool,
}

async fn exchange(steps: Vec<ServerStep>) -> Result<Exchanged, ExchangeError> {
    let address = start_server(steps).await;
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut connection = HttpConnection::connect(address, deadline).await.unwrap();
    let expected = ExpectedAnswer { id_field: ID_FIELD, id: b"own" };
    connection.exchange(REQUEST, Some(expected), false, deadline).await?;
    let body = connection.read_body(BODY_LIMIT_BYTES, deadline).await;
    Ok(Exchanged { body: body.map(|body| body.to_vec()), reusable: connection.is_reusable() })
}

#[tokio::test]
async fn a_complete_answer_leaves_the_connection_reusable() {
    let exchanged = exchange(vec![write(MATCHING_ANSWER)]).await.unwrap();

    assert_eq!(exchanged.body, Ok(b"ok".to_vec()));
    assert!(exchanged.reusable);
}

/// Reads an answer whose body arrives in three parts with pauses of `pause`.
async fn read_in_parts(pause: Duration) -> Result<usize, ExchangeFailure> {
    let head = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 6\r\n\r\n";
    let part = || [ServerStep::Wait(pause), write("ab")];
    let steps = [vec![write(head)], part().into(), part().into(), part().into()].concat();
    let address = start_server(steps).await;
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut connection = HttpConnection::connect(address, deadline).await.unwrap();
    connection.exchange(REQUEST, None, false, deadline).await.unwrap();
    let body = connection.read_flowing_body(BODY_LIMIT_BYTES, Duration::from_millis(350)).await;
    body.map(|body| body.len())
}

/// Guards against long lists that are discarded and requested again while they arrive, because the
/// link of the store is busy.
#[tokio::test]
async fn a_long_answer_may_take_longer_than_the_timeout_as_long_as_bytes_arrive() {
    tokio::time::pause();
    assert_eq!(read_in_parts(Duration::from_millis(200)).await, Ok(6));
    assert_eq!(read_in_parts(Duration::from_millis(500)).await, Err(ExchangeFailure::TimedOut));
}

/// Sends a request to a server that answers with a text, drops the connection after a while, and returns how it ended
/// for the server.
async fn drop_after_request(text: &'static str) -> std::io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.read(&mut [0; 16]).await
    });
    let deadline = Instant::now() + PAUSE / 5;
    let mut connection = HttpConnection::connect(address, deadline).await.unwrap();
    if connection.exchange(REQUEST, None, false, deadline).await.is_ok() {
        let _ = connection.read_body(BODY_LIMIT_BYTES, deadline).await;
    }
    drop(connection);
    serving.await.unwrap()
}

/// Guards against a request that reaches a server long after it was given up: closed in order, a connection goes on to
/// deliver what was written.
#[tokio::test]
async fn a_connection_whose_request_was_given_up_is_reset() {
    for text in ["", "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 5\r\n\r\nbe"] {
        let ended = drop_after_request(text).await;

        assert_eq!(ended.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset, "{text:?}");
    }
    assert_eq!(drop_after_request(MATCHING_ANSWER).await.unwrap(), 0);
}

/// Begins to send a request that is longer than the buffers to a server that reads nothing, sends a text and resets
/// the connection; returns what the client got as the body.
async fn read_early_answer(text: &'static str) -> Result<Vec<u8>, ExchangeFailure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        sleep(PAUSE / 5).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.set_zero_linger().unwrap();
    });
    let head = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nX-Id: own\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let request = [head.into_bytes(), vec![b'u'; UPLOAD_BYTES]].concat();
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut connection = HttpConnection::connect(address, deadline).await.unwrap();
    let expected = ExpectedAnswer { id_field: ID_FIELD, id: b"own" };
    let exchanged = connection.exchange(&request, Some(expected), false, deadline).await;
    exchanged.map_err(|error| error.failure)?;
    connection.read_body(BODY_LIMIT_BYTES, deadline).await.map(|body| body.to_vec())
}

/// Guards against a part of an answer that passes for the whole: the reset was reported to the write of the request,
/// so that the answer seemed to end in order.
#[tokio::test]
async fn an_answer_without_framing_that_is_reset_while_the_request_is_written_is_broken_off() {
    let part = read_early_answer("HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\npart").await;
    let whole = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 5\r\n\r\nwhole";

    assert_eq!(part, Err(ExchangeFailure::Broken));
    assert_eq!(read_early_answer(whole).await, Ok(b"whole".to_vec()));
}

#[tokio::test]
async fn a_late_answer_to_an_earlier_request_is_skipped() {
    let exchanged = exchange(vec![write(OTHER_ANSWER), write(MATCHING_ANSWER)]).await.unwrap();

    assert_eq!(exchanged.body, Ok(b"ok".to_vec()));
}

#[tokio::test]
async fn bytes_after_the_answer_make_the_connection_unusable() {
    let both = format!("{MATCHING_ANSWER}{OTHER_ANSWER}");

    let exchanged = exchange(vec![write(&both)]).await.unwrap();

    assert_eq!(exchanged.body, Ok(b"ok".to_vec()));
    assert!(!exchanged.reusable);
}

#[tokio::test]
async fn a_truncated_answer_is_an_error() {
    let cut = &MATCHING_ANSWER[..MATCHING_ANSWER.len() - 1];

    let exchanged = exchange(vec![write(cut)]).await.unwrap();

    assert_eq!(exchanged.body, Err(ExchangeFailure::Broken));
}

#[tokio::test]
async fn an_answer_without_a_length_ends_with_the_connection() {
    let unframed = "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nall of it";

    let exchanged = exchange(vec![write(unframed)]).await.unwrap();

    assert_eq!(exchanged.body, Ok(b"all of it".to_vec()));
    assert!(!exchanged.reusable);
}

#[tokio::test]
async fn a_server_that_closes_without_an_answer_may_have_run_the_request() {
    let error = exchange(Vec::new()).await.err();

    let expected = ExchangeError { failure: ExchangeFailure::Broken, ran: RunVerdict::MayHaveRun };
    assert_eq!(error, Some(expected));
}

#[tokio::test(start_paused = true)]
async fn a_silent_server_times_out_at_the_deadline() {
    let error = exchange(vec![ServerStep::Wait(Duration::from_secs(60))]).await.err();

    assert_eq!(error.map(|error| error.failure), Some(ExchangeFailure::TimedOut));
}

#[tokio::test]
async fn an_interim_answer_is_skipped() {
    let interim = format!("HTTP/1.1 100 Continue\r\n\r\n{MATCHING_ANSWER}");

    let exchanged = exchange(vec![write(&interim)]).await.unwrap();

    assert_eq!(exchanged.body, Ok(b"ok".to_vec()));
}

#[tokio::test]
async fn connecting_to_a_closed_port_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let connected = HttpConnection::connect(address, Instant::now() + Duration::from_secs(5)).await;

    assert!(connected.is_err());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Any bytes from a server lead to an answer or an error, never to a panic or to the body of
    /// another request's answer.
    #[test]
    fn any_server_bytes_end_the_exchange(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let ended = runtime.block_on(exchange(vec![ServerStep::Write(bytes)]));
        if let Ok(exchanged) = ended {
            prop_assert!(exchanged.body.is_err() || !exchanged.reusable);
        }
    }
}

/// Guards against a task that ends by an overflow since a server states an idle timeout without bounds.
#[tokio::test]
async fn a_connection_whose_server_states_an_endless_idle_timeout_is_kept() {
    let address = start_server(vec![write(MATCHING_ANSWER), ServerStep::Wait(PAUSE)]).await;
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut connection = HttpConnection::connect(address, deadline).await.unwrap();
    connection.exchange(REQUEST, None, false, deadline).await.unwrap();
    connection.read_body(BODY_LIMIT_BYTES, deadline).await.unwrap();
    let mut pool = ConnectionPool::default();
    let server = ServerId(1);
    assert!(pool.try_open(server, 1));

    pool.release(server, connection, read_idle_timeout(Some("timeout=18446744073709551615")));

    assert_eq!(pool.len(), 1);
    assert!(pool.take(server, b"own", Instant::now()).is_some());
}
