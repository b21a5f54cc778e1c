//! Callers that measure the latency of tokens and the rate of short calls.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::engine::SHORT_END;

const STREAM_BODY: &str = "{\"model\":\"m\",\"messages\":[],\"stream\":true}";
const SHORT_BODY: &str = "{\"model\":\"m\",\"messages\":[]}";
const SENT_PREFIX: &str = "{\"sent\":";
const SENT_DIGITS: usize = 20;
const LAST_CHUNK: &str = "0\r\n\r\n";
const BUFFER_BYTES: usize = 4096;

/// Latencies of tokens on one path to the engine, in microseconds.
pub struct TokenTimes {
    /// Time from sending a request until its first token arrives.
    pub first: Histogram<u64>,
    /// Time from sending a later token at the engine until it arrives.
    pub later: Histogram<u64>,
    /// Number of streams that ended before they were complete.
    pub broken: usize,
}

impl TokenTimes {
    pub fn new() -> Self {
        Self { first: new_histogram(), later: new_histogram(), broken: 0 }
    }

    fn add(&mut self, other: &TokenTimes) {
        self.first.add(&other.first).expect("same bounds");
        self.later.add(&other.later).expect("same bounds");
        self.broken += other.broken;
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

/// Opens `streams` streams evenly over the time `ramp` and waits until all have ended.
pub async fn run_streams(
    address: SocketAddr,
    streams: usize,
    ramp: Duration,
    start: Instant,
) -> TokenTimes {
    let mut callers = JoinSet::new();
    for index in 0..streams {
        let delay = ramp.mul_f64(index as f64 / streams as f64);
        callers.spawn(async move {
            sleep(delay).await;
            run_stream(address, start).await
        });
    }
    let mut times = TokenTimes::new();
    while let Some(joined) = callers.join_next().await {
        match joined.expect("caller panicked") {
            Ok(one) => times.add(&one),
            Err(_) => times.broken += 1,
        }
    }
    times
}

async fn run_stream(address: SocketAddr, start: Instant) -> io::Result<TokenTimes> {
    let mut stream = open_connection(address).await?;
    let mut times = TokenTimes::new();
    let requested = Instant::now();
    stream.write_all(build_call(STREAM_BODY).as_bytes()).await?;
    let mut text = String::new();
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let count = stream.read(&mut buffer).await?;
        let now = start.elapsed();
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        while let Some(sent) = take_sent_time(&mut text) {
            if times.first.is_empty() {
                record(&mut times.first, requested.elapsed());
            } else {
                record(&mut times.later, now.saturating_sub(sent));
            }
        }
        if text.contains("[DONE]") && text.ends_with(LAST_CHUNK) {
            return Ok(times);
        }
        if count == 0 {
            times.broken = 1;
            return Ok(times);
        }
    }
}

fn take_sent_time(text: &mut String) -> Option<Duration> {
    let start = text.find(SENT_PREFIX)? + SENT_PREFIX.len();
    let nanos = text.get(start..start + SENT_DIGITS)?.parse().ok()?;
    text.drain(..start + SENT_DIGITS);
    Some(Duration::from_nanos(nanos))
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}

/// Sends short calls back to back on each of `callers` connections for the time `duration`. Returns
/// the number of answers per second.
pub async fn run_short_calls(address: SocketAddr, callers: usize, duration: Duration) -> f64 {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(call_until(address, started + duration));
    }
    let mut answers = 0;
    while let Some(joined) = tasks.join_next().await {
        answers += joined.expect("caller panicked").expect("call failed");
    }
    answers as f64 / started.elapsed().as_secs_f64()
}

async fn call_until(address: SocketAddr, end: Instant) -> io::Result<u64> {
    let mut stream = open_connection(address).await?;
    let call = build_call(SHORT_BODY);
    let mut answers = 0;
    while Instant::now() < end {
        stream.write_all(call.as_bytes()).await?;
        read_short(&mut stream).await?;
        answers += 1;
    }
    Ok(answers)
}

async fn read_short(stream: &mut TcpStream) -> io::Result<()> {
    let mut text = String::new();
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        let chunked = text.contains("transfer-encoding: chunked");
        if text.ends_with(if chunked { LAST_CHUNK } else { SHORT_END }) {
            return Ok(());
        }
    }
}

async fn open_connection(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn build_call(body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer t\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
