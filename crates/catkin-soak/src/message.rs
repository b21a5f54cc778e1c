//! Reads and writes HTTP/1.1 messages, strictly and independently of the router's own reader.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// A message.
#[derive(Debug, Clone, Default)]
pub(crate) struct HttpMessage {
    /// First line.
    pub(crate) start: String,
    fields: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// Value of the only field of that name.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let mut values = self.fields.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
        let value = values.next()?.1.as_str();
        values.next().is_none().then_some(value)
    }

    /// Status of an answer.
    pub(crate) fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    /// Method and target of a request.
    pub(crate) fn call(&self) -> Option<(&str, &str)> {
        let mut words = self.start.split(' ');
        Some((words.next()?, words.next()?))
    }
}

/// Reads messages one after the other.
pub(crate) struct MessageReader<Stream> {
    stream: Stream,
    buffer: Vec<u8>,
}

impl<Stream: AsyncRead + Unpin> MessageReader<Stream> {
    pub(crate) fn new(stream: Stream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Whether bytes of a message were read that is not complete.
    pub(crate) fn has_begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads a whole message. Fails if the connection ends before, or on bytes that are none.
    pub(crate) async fn read(&mut self) -> io::Result<HttpMessage> {
        let mut message = HttpMessage::default();
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        message.start = lines.next().unwrap_or_default().to_owned();
        for line in lines {
            let (name, value) = line.split_once(": ").ok_or_else(bad_message)?;
            message.fields.push((name.to_owned(), value.to_owned()));
        }
        let mut at = head_end + 4;
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = self.read_chunk(&mut at, &mut message.body).await?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.field("content-length") {
            let length: usize = length.parse().map_err(|_| bad_message())?;
            while self.buffer.len() < at + length {
                self.fill().await?;
            }
            message.body = self.buffer[at..at + length].to_vec();
            at += length;
        }
        self.buffer.drain(..at);
        Ok(message)
    }

    async fn read_chunk(&mut self, at: &mut usize, body: &mut Vec<u8>) -> io::Result<usize> {
        let line = loop {
            if let Some(end) = find(&self.buffer[*at..], b"\r\n") {
                break end;
            }
            self.fill().await?;
        };
        let size = std::str::from_utf8(&self.buffer[*at..*at + line]).map_err(|_| bad_message())?;
        let size = usize::from_str_radix(size, 16).map_err(|_| bad_message())?;
        let start = *at + line + 2;
        while self.buffer.len() < start + size + 2 {
            self.fill().await?;
        }
        body.extend_from_slice(&self.buffer[start..start + size]);
        if &self.buffer[start + size..start + size + 2] != b"\r\n" {
            return Err(bad_message());
        }
        *at = start + size + 2;
        Ok(size)
    }

    async fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 4096];
        match self.stream.read(&mut piece).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&piece[..count]);
                Ok(())
            }
        }
    }
}

fn bad_message() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the bytes are no message")
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}

/// Writes an answer with a body of known length.
pub(crate) async fn write_answer(
    stream: &mut (impl AsyncWrite + Unpin),
    status: u16,
    fields: &str,
    body: &str,
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).await
}
