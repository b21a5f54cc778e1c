//! Engine that sends tokens at a fixed interval. Each token contains the time at which it was sent.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between two tokens.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(25);
/// Number of tokens of a streamed answer.
pub const TOKENS: usize = 80;
/// Last bytes of the body of a short answer.
pub const SHORT_END: &str = "\"end\":1}";

const SHORT_BODY: &str = "{\"choices\":[{\"message\":\"fine\"}],\"end\":1}";

/// Serves requests until the runtime is shut down. The times in tokens count from `start`.
pub async fn serve(socket: TcpListener, start: Instant) {
    loop {
        let (stream, _) = socket.accept().await.expect("accept");
        tokio::spawn(async move {
            let _ = serve_connection(stream, start).await;
        });
    }
}

async fn serve_connection(mut stream: TcpStream, start: Instant) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(request) = read_request(&mut stream).await? {
        let attempt = find_header_value(&request, "x-attempt-id: ").unwrap_or("0");
        if request.contains("\"stream\":true") {
            send_tokens(&mut stream, attempt, start).await?;
        } else {
            send_short(&mut stream, attempt).await?;
        }
        if request.contains("connection: close\r\n") {
            return Ok(());
        }
    }
    Ok(())
}

async fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(None);
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = find_header_value(head, "content-length: ").unwrap_or("0");
        if body.len() >= length.parse().unwrap_or(0) {
            return Ok(Some(text));
        }
    }
}

fn find_header_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split_once(name)?.1.lines().next()
}

async fn send_tokens(stream: &mut TcpStream, attempt: &str, start: Instant) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut ticks = interval(TOKEN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for _ in 0..TOKENS {
        ticks.tick().await;
        let nanos = start.elapsed().as_nanos();
        send_chunk(stream, &format!("data: {{\"sent\":{nanos:020}}}\n\n")).await?;
    }
    send_chunk(stream, "data: [DONE]\n\n").await?;
    stream.write_all(b"0\r\n\r\n").await
}

async fn send_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}

async fn send_short(stream: &mut TcpStream, attempt: &str) -> io::Result<()> {
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{SHORT_BODY}",
        SHORT_BODY.len()
    );
    stream.write_all(answer.as_bytes()).await
}
