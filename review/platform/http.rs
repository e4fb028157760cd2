//! A small HTTP/1.1 client and server side over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer as a client received it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its marked end.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request as a server received it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Sends a request on a new connection and reads the answer; `None` if none arrived within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    send(&stream, method, path, headers, body).ok()?;
    read_answer(&mut BufReader::new(&stream), &stream, deadline)
}

/// Writes a request.
pub fn send(
    mut stream: &TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> std::io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())
}

/// Reads an answer until `deadline`; `None` if its head did not arrive.
pub fn read_answer(
    reader: &mut impl BufRead,
    stream: &TcpStream,
    deadline: Instant,
) -> Option<Answer> {
    limit_reads(stream, deadline)?;
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer {
        status,
        headers,
        ..Answer::default()
    };
    answer.complete = read_body(reader, &answer.headers.clone(), &mut answer.body, true);
    Some(answer)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let mut request = Request {
        method: words.next()?.to_owned(),
        path: words.next()?.to_owned(),
        headers,
        body: Vec::new(),
    };
    let headers = request.headers.clone();
    read_body(reader, &headers, &mut request.body, false).then_some(request)
}

fn limit_reads(stream: &TcpStream, deadline: Instant) -> Option<()> {
    let left = deadline.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

/// Reads a body; returns whether it arrived to its end.
fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    body: &mut Vec<u8>,
    is_answer: bool,
) -> bool {
    if let Some(length) = find_header(headers, "content-length") {
        let Ok(length) = length.parse::<usize>() else {
            return false;
        };
        let _ = reader.take(length as u64).read_to_end(body);
        return body.len() == length;
    }
    if find_header(headers, "transfer-encoding").is_some() {
        loop {
            let Some(size) = read_line(reader) else {
                return false;
            };
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return false;
            };
            let before = body.len();
            let _ = reader.take(size as u64).read_to_end(body);
            if body.len() - before != size || read_line(reader).is_none() {
                return false;
            }
            if size == 0 {
                return true;
            }
        }
    }
    // A body without a length ends with the connection.
    !is_answer || reader.read_to_end(body).is_ok()
}
