//! The least of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

/// Sends one request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Reply> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let mut request = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_reply(&mut stream, deadline)
}

fn read_reply(stream: &mut TcpStream, deadline: Instant) -> io::Result<Reply> {
    let mut bytes = Vec::new();
    let mut part = [0; 16 << 10];
    loop {
        if let Some(reply) = parse(&bytes, false) {
            return Ok(reply);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut part) {
            Ok(0) => return parse(&bytes, true).ok_or_else(|| io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(io::ErrorKind::TimedOut.into()),
            Err(error) => return Err(error),
        }
    }
}

fn parse(bytes: &[u8], at_end: bool) -> Option<Reply> {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let header = |name: &str| {
        head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    };
    let body = if let Some(length) = header("content-length").and_then(|value| value.parse::<usize>().ok()) {
        (rest.len() >= length).then(|| rest[..length].to_owned())?
    } else if header("transfer-encoding").is_some() {
        chunks(rest)?
    } else if at_end {
        rest.to_owned()
    } else {
        return None;
    };
    Some(Reply { status, body })
}

fn chunks(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(after.get(..size)?);
        rest = after.get(size + 2..)?;
    }
}

/// The answer in a few words, for the record.
pub fn describe(reply: &io::Result<Reply>) -> String {
    match reply {
        Ok(reply) => format!("{} {}", reply.status, reply.body.chars().take(90).collect::<String>()),
        Err(error) => format!("no answer ({error})"),
    }
}
