//! Reads and writes HTTP/1.1 messages: strict, and independent of the router's own parser.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// An HTTP/1.1 request or answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct HttpMessage {
    /// Start line.
    pub(crate) start_line: String,
    fields: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// Value of the header with this name; `None` if it is missing or repeated.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let mut values = self.fields.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
        let value = values.next()?.1.as_str();
        values.next().is_none().then_some(value)
    }

    /// Status code of an answer.
    pub(crate) fn status(&self) -> Option<u16> {
        self.start_line.split(' ').nth(1)?.parse().ok()
    }

    /// Method and target of a request.
    pub(crate) fn method_and_target(&self) -> Option<(&str, &str)> {
        let mut words = self.start_line.split(' ');
        Some((words.next()?, words.next()?))
    }
}

/// Reads the messages of a connection.
pub(crate) struct MessageReader<Stream> {
    stream: Stream,
    buffer: Vec<u8>,
}

impl<Stream: AsyncRead + Unpin> MessageReader<Stream> {
    pub(crate) fn new(stream: Stream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Whether bytes of an incomplete message were read.
    pub(crate) fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The incomplete message of which bytes were read, with the complete chunks of its body; `None` if
    /// its head is incomplete or it has no chunks.
    pub(crate) async fn read_partial(self) -> Option<HttpMessage> {
        let mut reader = MessageReader { stream: tokio::io::empty(), buffer: self.buffer };
        let (mut message, mut at) = reader.read_head().await.ok()?;
        message.field("transfer-encoding")?;
        while let Ok(1..) = reader.read_chunk(&mut at, &mut message.body).await {}
        Some(message)
    }

    /// Reads a complete message. Fails if the connection ends first or the bytes are not a message.
    pub(crate) async fn read(&mut self) -> io::Result<HttpMessage> {
        let (mut message, mut at) = self.read_head().await?;
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = self.read_chunk(&mut at, &mut message.body).await?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.field("content-length") {
            let length: usize = length.parse().map_err(|_| invalid_message())?;
            while self.buffer.len() < at + length {
                self.fill().await?;
            }
            message.body = self.buffer[at..at + length].to_vec();
            at += length;
        }
        self.buffer.drain(..at);
        Ok(message)
    }

    /// Reads the start line and the fields of a message; returns where its body begins, too.
    async fn read_head(&mut self) -> io::Result<(HttpMessage, usize)> {
        let mut message = HttpMessage::default();
        let head_end = loop {
            if let Some(at) = find_bytes(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        message.start_line = lines.next().unwrap_or_default().to_owned();
        for line in lines {
            let (name, value) = line.split_once(": ").ok_or_else(invalid_message)?;
            message.fields.push((name.to_owned(), value.to_owned()));
        }
        Ok((message, head_end + 4))
    }

    async fn read_chunk(&mut self, at: &mut usize, body: &mut Vec<u8>) -> io::Result<usize> {
        let line = loop {
            if let Some(end) = find_bytes(&self.buffer[*at..], b"\r\n") {
                break end;
            }
            self.fill().await?;
        };
        let size =
            std::str::from_utf8(&self.buffer[*at..*at + line]).map_err(|_| invalid_message())?;
        let size = usize::from_str_radix(size, 16).map_err(|_| invalid_message())?;
        let start = *at + line + 2;
        while self.buffer.len() < start + size + 2 {
            self.fill().await?;
        }
        body.extend_from_slice(&self.buffer[start..start + size]);
        if &self.buffer[start + size..start + size + 2] != b"\r\n" {
            return Err(invalid_message());
        }
        *at = start + size + 2;
        Ok(size)
    }

    async fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }
}

fn invalid_message() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the bytes are not a valid HTTP/1.1 message")
}

fn find_bytes(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}

/// Writes an answer with a Content-Length header.
pub(crate) async fn write_answer(
    stream: &mut (impl AsyncWrite + Unpin),
    status: u16,
    fields: &str,
    body: &str,
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).await
}
