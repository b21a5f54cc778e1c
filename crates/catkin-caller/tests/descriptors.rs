//! The listener resumes accepting after the process ran out of file descriptors.
//!
//! Guards against an accept loop that ends when `accept` fails.

mod support;

use std::fs::File;

use catkin_caller::CallerLimits;
use log::{LevelFilter, Log, Metadata, Record};
use support::{AnswerStep, CHAT_BODY, RawCaller, chat_call, data, json_script, start_listener};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

/// Logger that reports each failed accept to the test.
struct AcceptLogger(flume::Sender<()>);

impl Log for AcceptLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string().starts_with("caller: accept failed") {
            let _ = self.0.send(());
        }
    }

    fn flush(&self) {}
}

fn take_all_descriptors() -> Vec<File> {
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

#[tokio::test]
async fn listener_resumes_after_running_out_of_descriptors() {
    let (failure_sender, failures) = flume::unbounded();
    log::set_boxed_logger(Box::new(AcceptLogger(failure_sender))).unwrap();
    log::set_max_level(LevelFilter::Warn);
    let script = json_script(vec![data("{}"), AnswerStep::End]);
    let listener = start_listener(script, CallerLimits::default()).await;
    let socket = TcpSocket::new_v4().unwrap();
    let files = take_all_descriptors();

    let mut stream = socket.connect(listener.address).await.unwrap();
    stream.write_all(chat_call("", CHAT_BODY).as_bytes()).await.unwrap();
    failures.recv_async().await.unwrap();
    drop(files);

    let mut caller = RawCaller { stream, received: String::new() };
    assert!(caller.read_until("0\r\n\r\n").await.starts_with("HTTP/1.1 200 "));
}
