//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{ErrorKind, Read, Result};
use std::net::TcpStream;

/// A request or answer head: its first line, and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The n-th word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.first_line.split(' ').nth(n).unwrap_or_default()
    }
}

/// Reads messages from a connection, with what has been read past the last one.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> std::io::Error {
    ErrorKind::UnexpectedEof.into()
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes)? {
            0 => Err(ended()),
            read => {
                self.buffer.extend_from_slice(&bytes[..read]);
                Ok(())
            }
        }
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.drain(..end + 2).take(end).collect();
                return String::from_utf8(line).map_err(|_| ErrorKind::InvalidData.into());
            }
            self.fill()?;
        }
    }

    /// Reads a head; an end before its first byte is an error of kind `UnexpectedEof`.
    pub fn head(&mut self) -> Result<Head> {
        let first_line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Head { first_line, headers });
            }
            let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }

    /// Reads a body of a stated length.
    pub fn body(&mut self, head: &Head) -> Result<Vec<u8>> {
        let length = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.take(length)
    }

    /// Reads one chunk of a chunked body; `None` for the last one.
    pub fn chunk(&mut self) -> Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
        let data = self.take(size)?;
        self.line()?;
        Ok((size > 0).then_some(data))
    }
}
