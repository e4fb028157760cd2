//! Requests of which each must be refused.

/// One request that must be refused.
pub(crate) struct BadRequest {
    /// What is wrong with it.
    pub(crate) name: &'static str,
    /// All its bytes.
    pub(crate) bytes: Vec<u8>,
    /// The statuses that will do, besides a connection that is closed without an answer.
    pub(crate) statuses: &'static [u16],
}

/// The first line of a call to a model.
const CHAT: &str = "POST /v1/chat/completions";
/// The first line of an order.
const ORDER: &str = "POST /foundry/orders";
/// The first line of a lookup.
const LOOKUP: &str = "GET /foundry/records/1";
/// Bytes over every limit.
const LONG_BYTES: usize = 70_000;

/// Returns the bytes of a request.
pub(crate) fn request(first_line: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("{first_line} HTTP/1.1\r\nhost: instance\r\n{headers}\r\n{body}").into_bytes()
}

/// Returns all of them, for a caller with a key.
pub(crate) fn all(key: &str) -> Vec<BadRequest> {
    let auth = format!("authorization: Bearer {key}\r\n");
    let mut all = bad_heads(&auth);
    all.extend(bad_framing(&auth));
    all.extend(bad_bodies(&auth));
    all.extend(bad_targets(&auth));
    all
}

fn bad(name: &'static str, bytes: Vec<u8>, statuses: &'static [u16]) -> BadRequest {
    BadRequest {
        name,
        bytes,
        statuses,
    }
}

fn bad_heads(auth: &str) -> Vec<BadRequest> {
    let lookup = |headers: &str| request(LOOKUP, &format!("{auth}{headers}"), "");
    let long = "x".repeat(LONG_BYTES);
    let many = "x-many: 1\r\n".repeat(500);
    let not_http = b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec();
    let empty_key = format!("{auth}idempotency-key: \r\ncontent-length: 2\r\n");
    vec![
        bad("large head", lookup(&format!("x-long: {long}\r\n")), &[431]),
        bad("many headers", lookup(&many), &[431]),
        bad("header injection", lookup("x-team\r\n: rival\r\n"), &[400]),
        bad(
            "bare return",
            lookup("user-agent: a\rx-team: rival\r\n"),
            &[400],
        ),
        bad(
            "bad deadline",
            lookup("x-request-timeout-ms: soon\r\n"),
            &[400],
        ),
        bad("empty order key", request(ORDER, &empty_key, "{}"), &[400]),
        bad("not HTTP", not_http, &[400]),
    ]
}

fn bad_framing(auth: &str) -> Vec<BadRequest> {
    let order = |headers: &str, body: &str| request(ORDER, &format!("{auth}{headers}"), body);
    let long = "x".repeat(LONG_BYTES);
    let chunked = "transfer-encoding: chunked\r\n";
    let long_chunk = format!("{LONG_BYTES:x}\r\n{long}\r\n0\r\n\r\n");
    let long_length = format!("content-length: {LONG_BYTES}\r\n");
    let two_lengths = "content-length: 2\r\ncontent-length: 3\r\n";
    vec![
        bad("large body", order(&long_length, &long), &[413]),
        bad("large chunked body", order(chunked, &long_chunk), &[413]),
        bad(
            "length in letters",
            order("content-length: many\r\n", "{}"),
            &[400],
        ),
        bad(
            "negative length",
            order("content-length: -2\r\n", "{}"),
            &[400],
        ),
        bad("two lengths", order(two_lengths, "{}x"), &[400]),
        bad("short body", order("content-length: 900\r\n", "{}"), &[408]),
        bad("bad chunk", order(chunked, "zz\r\n{}\r\n0\r\n\r\n"), &[400]),
    ]
}

fn bad_bodies(auth: &str) -> Vec<BadRequest> {
    let chat = |body: &str| {
        let headers = format!("{auth}content-length: {}\r\n", body.len());
        request(CHAT, &headers, body)
    };
    let deep = format!("{}{}", "[".repeat(40), "]".repeat(40));
    let deep = format!(r#"{{"model":"alama-llm","messages":[],"metadata":{deep}}}"#);
    let mut invalid = request(CHAT, &format!("{auth}content-length: 4\r\n"), "");
    invalid.extend_from_slice(b"\"\xff\xfe\"");
    vec![
        bad("invalid UTF-8", invalid, &[400]),
        bad("no JSON", chat("{"), &[400]),
        bad("deep JSON", chat(&deep), &[400]),
        bad("deepest JSON", chat(&"[".repeat(60_000)), &[400]),
    ]
}

fn bad_targets(auth: &str) -> Vec<BadRequest> {
    let to = |first_line: &str| request(first_line, auth, "");
    let mut invalid = b"GET /foundry/\xff HTTP/1.1\r\nhost: instance\r\n".to_vec();
    invalid.extend_from_slice(auth.as_bytes());
    invalid.extend_from_slice(b"\r\n");
    vec![
        bad("invalid path", invalid, &[400]),
        bad("unknown method", to("BREW /v1/models"), &[405]),
        bad("wrong method", to("DELETE /v1/chat/completions"), &[405]),
        bad("dots in the path", to("GET /foundry/../v1/models"), &[400]),
        bad("escaped dots", to("GET /foundry/%2e%2e/v1/models"), &[400]),
    ]
}
