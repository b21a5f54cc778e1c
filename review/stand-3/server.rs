//! A stand-in server: a process that serves one service under one `Id`. It prints what it runs on standard output.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::store::{find_field, read_message};

/// What a server is told at its start, as `KEY=VALUE`.
struct Options {
    id: String,
    /// Version of its software.
    version: String,
    /// Time between two events of a stream.
    gap: Duration,
    /// Number of events of a stream.
    events: u64,
    /// Time between the two halves of a plain answer.
    pause: Duration,
}

/// Runs a server until its process ends.
pub fn run(words: &[&str]) {
    let values: BTreeMap<&str, &str> =
        words.iter().filter_map(|word| word.split_once('=')).collect();
    let number = |key: &str| values[key].parse::<u64>().unwrap();
    let options = Arc::new(Options {
        id: values["id"].to_owned(),
        version: values["version"].to_owned(),
        gap: Duration::from_millis(number("gap")),
        events: number("events"),
        pause: Duration::from_millis(values.get("pause").map_or(0, |text| text.parse().unwrap())),
    });
    let listener = TcpListener::bind(values["address"]).unwrap();
    println!("listening {}", listener.local_addr().unwrap());
    for stream in listener.incoming().flatten() {
        let options = Arc::clone(&options);
        thread::spawn(move || serve(stream, &options));
    }
}

fn serve(mut stream: TcpStream, options: &Options) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some((head, _)) = read_message(&mut stream, &mut buffer) {
        if answer(&mut stream, &head, options).is_err() {
            return;
        }
    }
}

fn answer(stream: &mut TcpStream, head: &str, options: &Options) -> io::Result<()> {
    let target = head.split(' ').nth(1).unwrap_or_default();
    let write = |stream: &mut TcpStream, status: &str, fields: &str, body: &str| {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes())
    };
    match target {
        "/healthz" => return write(stream, "200 OK", "", ""),
        "/v1/kv-list" => {
            let list = r#"{"epoch":1,"NextToken":0,"held":[]}"#;
            return write(stream, "200 OK", "", list);
        }
        _ => {}
    }
    let id = find_field(head, "X-Catkinpitch-Request-Id").unwrap_or_default();
    let mut fields = format!("X-Catkinpitch-Request-Id: {id}\r\n");
    let expected = find_field(head, "X-Catkinpitch-Expect-Instance");
    if expected.is_some_and(|expected| expected != options.id) {
        fields += "X-Catkinpitch-Not-Executed: 1\r\n";
        return write(stream, "421 Misdirected Request", &fields, "");
    }
    fields += &format!("X-Catkinpitch-Server-Seal: {}.{id}\r\n", options.id);
    if target.starts_with("/confirm/") {
        return answer_plain(stream, id, &fields, options);
    }
    let last: u64 =
        find_field(head, "Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
    println!("run {id} after {last}");
    fields += "Content-Type: text/event-stream\r\n";
    fields += "Transfer-Encoding: chunked\r\n";
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{fields}\r\n").as_bytes())?;
    for number in last + 1..=options.events {
        thread::sleep(options.gap);
        let event = format!("id: {number}\ndata: {} {}\n\n", options.id, options.version);
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    println!("done {id}");
    stream.write_all(b"0\r\n\r\n")
}

/// The server's own failure of a request that it ran, with its whole body.
pub fn failure_body(server: &str, id: &str) -> String {
    format!(
        r#"{{"server":"{server}","request":"{id}","error":"quote is locked","locked_until":1733}}"#
    )
}

/// Answers with a failure that has neither a length nor chunks, in two halves.
fn answer_plain(
    stream: &mut TcpStream,
    id: &str,
    fields: &str,
    options: &Options,
) -> io::Result<()> {
    println!("run {id}");
    let body = failure_body(&options.id, id);
    let (first, second) = body.split_at(body.len() / 2);
    let head = format!("HTTP/1.1 500 Internal Server Error\r\n{fields}Connection: close\r\n\r\n");
    stream.write_all(format!("{head}{first}").as_bytes())?;
    println!("half {id}");
    thread::sleep(options.pause);
    stream.write_all(second.as_bytes())?;
    println!("whole {id}");
    Err(io::ErrorKind::ConnectionAborted.into())
}
