//! HTTP/1.1 over plain sockets: just enough for clients, workers and operators of the pages.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came, by its length, its last chunk, or (without either) the end of the connection.
    Complete,
    /// The connection ended before the answer was whole.
    Cut,
    /// The connection was reset before the answer was whole.
    Reset,
    /// Nothing came before the connection ended.
    NoAnswer,
    /// The deadline passed.
    Late,
}

/// An answer as its caller saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    fn none(end: End) -> Answer {
        Answer { status: 0, headers: Vec::new(), body: Vec::new(), end }
    }
}

/// The first value of a header.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// A connection with the bytes that were read from it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn open(addr: SocketAddr, timeout: Duration) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    pub fn from(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. `Ok(0)` is the end of the connection.
    pub fn fill(&mut self, deadline: Instant) -> std::io::Result<usize> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut bytes = [0; 16384];
        loop {
            match self.stream.read(&mut bytes) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(ErrorKind::TimedOut.into()),
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(count);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads a head: its first line and its headers. `Ok(None)` where the connection ended before its first byte.
    pub fn read_head(&mut self, deadline: Instant) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect();
                return Ok(Some((first, headers)));
            }
            if self.fill(deadline)? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads a body of this length.
    pub fn read_length(&mut self, length: usize, body: &mut Vec<u8>, deadline: Instant) -> std::io::Result<()> {
        while self.buffer.len() < length {
            if self.fill(deadline)? == 0 {
                body.append(&mut self.buffer);
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend(self.buffer.drain(..length));
        Ok(())
    }

    /// Reads a chunked body.
    pub fn read_chunks(&mut self, body: &mut Vec<u8>, deadline: Instant) -> std::io::Result<()> {
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                if self.fill(deadline)? == 0 {
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            };
            let size = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
            self.buffer.drain(..end + 2);
            self.read_length(size, body, deadline)?;
            let mut line_end = Vec::new();
            self.read_length(2, &mut line_end, deadline)?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Reads an answer until it ends.
    pub fn read_answer(&mut self, deadline: Instant) -> Answer {
        let head = loop {
            match self.read_head(deadline) {
                Ok(Some((first, _))) if first.starts_with("HTTP/1.1 1") => {}
                Ok(Some(head)) => break head,
                Ok(None) => return Answer::none(End::NoAnswer),
                Err(error) => return Answer::none(end_of(&error, true)),
            }
        };
        let status = head.0.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut answer = Answer { status, headers: head.1, body: Vec::new(), end: End::Complete };
        let length = answer.header("content-length").and_then(|value| value.parse::<usize>().ok());
        let is_chunked = answer.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        let mut body = Vec::new();
        let result = match (is_chunked, length) {
            (true, _) => self.read_chunks(&mut body, deadline),
            (false, Some(length)) => self.read_length(length, &mut body, deadline),
            (false, None) if matches!(status, 204 | 304) => Ok(()),
            (false, None) => loop {
                match self.fill(deadline) {
                    Ok(0) => {
                        body.append(&mut self.buffer);
                        break Ok(());
                    }
                    Ok(_) => {}
                    Err(error) => break Err(error),
                }
            },
        };
        answer.body = body;
        if let Err(error) = result {
            answer.end = end_of(&error, false);
        }
        answer
    }

    /// Sends bytes and reads the answer.
    pub fn call(&mut self, bytes: &[u8], deadline: Instant) -> Answer {
        match self.stream.write_all(bytes) {
            Ok(()) => self.read_answer(deadline),
            Err(_) => Answer::none(End::NoAnswer),
        }
    }
}

fn end_of(error: &std::io::Error, is_before_head: bool) -> End {
    match error.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => End::Late,
        ErrorKind::ConnectionReset => End::Reset,
        _ if is_before_head => End::NoAnswer,
        _ => End::Cut,
    }
}

/// The index of the first occurrence of a sequence of bytes.
pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// One call on a connection of its own; `None` where none could be opened.
pub fn call_once(addr: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Answer> {
    let deadline = Instant::now() + timeout;
    let mut connection = Connection::open(addr, timeout).ok()?;
    Some(connection.call(bytes, deadline))
}
