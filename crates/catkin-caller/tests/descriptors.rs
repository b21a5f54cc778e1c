//! Running out of file descriptors stops the listener only for as long as it lasts.

mod support;

use std::fs::File;

use catkin_caller::CallerLimits;
use log::{LevelFilter, Log, Metadata, Record};
use support::{AnswerStep, CHAT_BODY, RawCaller, chat_call, data, json_script, start_listener};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

/// Tells the test about each failed accept.
struct AcceptWatch(flume::Sender<()>);

impl Log for AcceptWatch {
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
async fn listener_goes_on_after_running_out_of_descriptors() {
    let (failures_in, failures) = flume::unbounded();
    log::set_boxed_logger(Box::new(AcceptWatch(failures_in))).unwrap();
    log::set_max_level(LevelFilter::Warn);
    let script = json_script(vec![data("{}"), AnswerStep::End]);
    let listener = start_listener(script, CallerLimits::default()).await;
    let socket = TcpSocket::new_v4().unwrap();
    let files = take_all_descriptors();

    let mut stream = socket.connect(listener.address).await.unwrap();
    stream.write_all(chat_call("", CHAT_BODY).as_bytes()).await.unwrap();
    failures.recv_async().await.unwrap();
    drop(files);

    let mut caller = RawCaller { stream, seen: String::new() };
    assert!(caller.read_until("0\r\n\r\n").await.starts_with("HTTP/1.1 200 "));
}
