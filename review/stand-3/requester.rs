//! A requester: sends one request over a new channel and reads its answer.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An answer as far as it has been read.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status; 0 before the head.
    pub status: u16,
    /// Number and data of each event of a stream.
    pub events: Vec<(u64, String)>,
    /// Whether the answer looks complete.
    pub complete: bool,
    /// Whether the channel has ended.
    pub ended: bool,
    /// The server's seal, if the answer has one.
    pub seal: String,
    /// Body of an answer that is no stream.
    pub body: String,
}

/// A request that was sent, and its answer.
pub struct Sent {
    pub id: String,
    answer: Arc<Mutex<Answer>>,
    stream: Option<TcpStream>,
}

impl Sent {
    /// Sends a request to a router. `fields` are further header lines.
    pub fn new(router: SocketAddr, path: &str, id: &str, fields: &str, body: &str) -> Self {
        let answer = Arc::new(Mutex::new(Answer::default()));
        let connected = TcpStream::connect_timeout(&router, Duration::from_secs(1));
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Catkinpitch-Request-Id: {id}\r\n\
             X-Catkinpitch-Credential: key-1\r\n{fields}Connection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let stream = connected.and_then(|mut stream| {
            stream.write_all(text.as_bytes())?;
            Ok(stream)
        });
        let stream = stream.ok();
        let (reader, shared) =
            (stream.as_ref().and_then(|stream| stream.try_clone().ok()), Arc::clone(&answer));
        match reader {
            Some(reader) => _ = thread::spawn(move || read_answer(reader, &shared)),
            None => shared.lock().unwrap().ended = true,
        }
        Self { id: id.to_owned(), answer, stream }
    }

    /// The answer so far.
    pub fn answer(&self) -> Answer {
        self.answer.lock().unwrap().clone()
    }

    /// Closes the channel.
    pub fn close(&self) {
        if let Some(stream) = &self.stream {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Waits until the answer is as asked, or for so long.
    pub fn wait(&self, length: Duration, is_done: impl Fn(&Answer) -> bool) -> Answer {
        let until = Instant::now() + length;
        loop {
            let answer = self.answer();
            if answer.ended || is_done(&answer) || Instant::now() >= until {
                return answer;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn read_answer(mut stream: TcpStream, shared: &Mutex<Answer>) {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let read = stream.read(&mut part);
        let count = read.as_ref().copied().unwrap_or(0);
        bytes.extend_from_slice(&part[..count]);
        let mut answer = parse(&bytes);
        answer.ended = count == 0;
        *shared.lock().unwrap() = answer;
        if count == 0 {
            return;
        }
    }
}

fn parse(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes);
    let mut answer = Answer::default();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else { return answer };
    answer.status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let seal = crate::store::find_field(head, "X-Catkinpitch-Server-Seal");
    answer.seal = seal.unwrap_or_default().to_owned();
    if !head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
        let length = crate::store::find_field(head, "content-length");
        answer.complete = length.and_then(|text| text.parse().ok()) == Some(rest.len());
        answer.body = rest.to_owned();
        return answer;
    }
    let mut body = String::new();
    let mut rest = rest;
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        if size == 0 {
            answer.complete = after.starts_with("\r\n");
            break;
        }
        if after.len() < size + 2 {
            break;
        }
        body.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    for event in body.split("\n\n").filter(|event| !event.is_empty()) {
        let value = |name: &str| {
            let found = event.lines().find_map(|line| line.strip_prefix(name));
            found.unwrap_or_default().trim().to_owned()
        };
        answer.events.push((value("id:").parse().unwrap_or(0), value("data:")));
    }
    answer
}
