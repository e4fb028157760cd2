//! An operators' face that answers by a script and keeps what it was asked.

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::thread;

/// What the face does with one request; the last step of a script goes on for ever.
#[derive(Debug, Clone)]
pub(crate) enum ApiStep {
    /// Answers with a status and a document.
    Answer(u16, &'static str),
    /// Reads the request and closes the connection.
    Close,
    /// Answers, and closes before the announced end of the body.
    CutAnswer,
}

/// An operators' face that answers by a script and keeps what it was asked.
#[derive(Debug)]
pub(crate) struct ScriptedApi {
    pub(crate) address: net::SocketAddr,
    requests: sync::Arc<sync::Mutex<Vec<String>>>,
    stopping: sync::Arc<sync::atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ScriptedApi {
    pub(crate) fn new(script: &[ApiStep]) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = sync::Arc::<sync::Mutex<Vec<String>>>::default();
        let stopping = sync::Arc::<sync::atomic::AtomicBool>::default();
        let script = script.to_vec();
        let (ledger, ended) = (requests.clone(), stopping.clone());
        let thread = thread::spawn(move || {
            for (index, stream) in listener.incoming().enumerate() {
                if ended.load(sync::atomic::Ordering::SeqCst) {
                    return;
                }
                let mut stream = stream.unwrap();
                let request = read_request(&mut stream);
                ledger.lock().unwrap().push(request);
                let step = script.get(index).or(script.last()).unwrap();
                let _ = answer(&mut stream, step);
            }
        });
        Self {
            address,
            requests,
            stopping,
            thread: Some(thread),
        }
    }

    /// Returns the requests so far, head and body.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

impl Drop for ScriptedApi {
    fn drop(&mut self) {
        self.stopping.store(true, sync::atomic::Ordering::SeqCst);
        let _ = net::TcpStream::connect(self.address);
        let _ = self.thread.take().unwrap().join();
    }
}

fn read_request(stream: &mut net::TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .filter_map(|line| line.split_once(": "))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .map_or(0, |(_, value)| value.parse().unwrap());
            if body.len() >= length {
                return text;
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return text,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn answer(stream: &mut net::TcpStream, step: &ApiStep) -> std::io::Result<()> {
    let (status, body, announced) = match step {
        ApiStep::Close => return Ok(()),
        ApiStep::Answer(status, body) => (*status, *body, body.len()),
        ApiStep::CutAnswer => (200, "{\"revision\"", 100),
    };
    write!(
        stream,
        "HTTP/1.1 {status} Scripted\r\ncontent-length: {announced}\r\nconnection: close\r\n\r\n{body}"
    )
}
